// A program whose static object is never destroyed, for the test that a process
// ends all the same: its service fails at once with a storage_error.

#include <future>

#include "lovagedale/common/log.h"
#include "lovagedale/process/process.h"
#include "lovagedale/replication/errors.h"

namespace {

class blocked_on_destruction {
 public:
  blocked_on_destruction() = default;
  blocked_on_destruction(const blocked_on_destruction&) = delete;
  auto operator=(const blocked_on_destruction&)
      -> blocked_on_destruction& = delete;
  ~blocked_on_destruction() { never_set_.get_future().wait(); }

 private:
  std::promise<void> never_set_;
};

}  // namespace

auto main(int argc, char** argv) -> int {
  static const blocked_on_destruction blocked;
  return lovagedale::RunProcess(
      argc, argv,
      {"blocked_destructor", "Fails at once.", [](const std::string&) {},
       [](const std::string&) -> int {
         lovagedale::InitializeLogging("blocked_destructor", "",
                                       lovagedale::log_level::kInfo);
         throw lovagedale::storage_error("the disk is full");
       }});
}
