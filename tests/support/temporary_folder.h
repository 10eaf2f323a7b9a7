#pragma once

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>

namespace lovagedale::testing {

/// Creates a folder and removes it with its contents on destruction.
class temporary_folder {
 public:
  temporary_folder() {
    auto pattern =
        (std::filesystem::temp_directory_path() / "lovagedale.XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
      throw std::runtime_error("cannot create a temporary folder");
    }
    path_ = pattern;
  }
  temporary_folder(const temporary_folder&) = delete;
  auto operator=(const temporary_folder&) -> temporary_folder& = delete;
  ~temporary_folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  auto path() const -> const std::string& { return path_; }

 private:
  std::string path_;
};

}  // namespace lovagedale::testing
