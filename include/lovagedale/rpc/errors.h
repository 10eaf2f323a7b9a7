#pragma once

#include <stdexcept>
#include <string>

namespace lovagedale {

/// A call between two processes of the fleet failed.
class rpc_error : public std::runtime_error {
 public:
  enum class outcome {
    kNotSent,    ///< no byte of the request left this process
    kMaybeSent,  ///< the peer may have handled the request
  };
  rpc_error(outcome result, const std::string& reason)
      : std::runtime_error(reason), outcome_(result) {}
  auto result() const -> outcome { return outcome_; }

 private:
  outcome outcome_;
};

}  // namespace lovagedale
