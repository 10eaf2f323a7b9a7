#pragma once

#include <stdexcept>

namespace lovagedale {

/// The data folder cannot be read or written. The process must stop: what it
/// could not store it must not promise.
class storage_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace lovagedale
