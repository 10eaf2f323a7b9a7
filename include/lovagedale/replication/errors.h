#pragma once

#include <stdexcept>

namespace lovagedale {

/// The data folder cannot be read or written. Nothing that could not be stored
/// may be acknowledged.
class storage_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace lovagedale
