#pragma once

#include <stdexcept>

namespace lovagedale {

/// The data folder cannot be read or written. The process must stop: it must
/// not acknowledge anything that it could not store.
class storage_error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

}  // namespace lovagedale
