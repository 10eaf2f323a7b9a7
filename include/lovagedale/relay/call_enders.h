#pragma once

#include <functional>
#include <list>
#include <memory>
#include <utility>

namespace lovagedale {

/// Functions by which calls in progress are ended early. Not thread-safe.
class call_enders {
  using function_list = std::list<std::function<void()>>;

 public:
  /// Keeps a function registered. May outlive the call_enders: the event loop
  /// destroys the fibers of its calls last.
  class registration {
   public:
    registration(std::shared_ptr<function_list> functions,
                 std::function<void()> end)
        : functions_(std::move(functions)),
          position_(functions_->insert(functions_->end(), std::move(end))) {}
    ~registration() { functions_->erase(position_); }
    registration(const registration&) = delete;
    auto operator=(const registration&) -> registration& = delete;

   private:
    std::shared_ptr<function_list> functions_;
    function_list::iterator position_;
  };

  [[nodiscard]] auto Register(std::function<void()> end) -> registration {
    return {functions_, std::move(end)};
  }
  /// Calls each function. They must not register or unregister any.
  auto EndAll() const -> void {
    for (const auto& end : *functions_) end();
  }

 private:
  std::shared_ptr<function_list> functions_ = std::make_shared<function_list>();
};

}  // namespace lovagedale
