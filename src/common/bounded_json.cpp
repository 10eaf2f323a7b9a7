#include "lovagedale/common/bounded_json.h"

#include <boost/json.hpp>
#include <new>
#include <string>

namespace lovagedale {
namespace {

namespace json = boost::json;

/// Counts what a parsed form takes; throws std::bad_alloc above the limit.
class counting_resource : public json::memory_resource {
 public:
  explicit counting_resource(std::size_t max_bytes) : max_bytes_(max_bytes) {}

 private:
  auto do_allocate(std::size_t bytes, std::size_t alignment) -> void* override {
    if (bytes > max_bytes_ - used_bytes_) throw std::bad_alloc();
    auto* block = ::operator new(bytes, std::align_val_t(alignment));
    used_bytes_ += bytes;
    return block;
  }
  auto do_deallocate(void* block, std::size_t bytes, std::size_t alignment)
      -> void override {
    used_bytes_ -= bytes;
    ::operator delete(block, std::align_val_t(alignment));
  }
  auto do_is_equal(const json::memory_resource& other) const noexcept
      -> bool override {
    return this == &other;
  }

  std::size_t max_bytes_;
  std::size_t used_bytes_ = 0;
};

}  // namespace

auto ParseBoundedJson(std::string_view text, std::size_t max_bytes,
                      boost::system::error_code& error) -> json::value {
  auto storage = json::make_shared_resource<counting_resource>(max_bytes);
  try {
    // The parser's own stack of unfinished values draws from it too.
    json::parser parser(storage);
    parser.reset(storage);
    parser.write(text, error);
    if (error) return nullptr;
    return parser.release();
  } catch (const std::bad_alloc&) {
    throw json_too_large("its parsed form exceeds " +
                         std::to_string(max_bytes) + " bytes");
  }
}

}  // namespace lovagedale
