#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <exception>
#include <utility>

namespace lovagedale {

/// Starts a background fiber. An exception that escapes it is rethrown from the
/// event loop, so that the process stops with an error instead of continuing
/// without the fiber. (boost::asio::detached would discard the exception.)
template <typename Function>
auto SpawnTask(boost::asio::io_context& context, Function&& function) -> void {
  boost::asio::spawn(context, std::forward<Function>(function),
                     [](std::exception_ptr failure) {
                       if (failure) std::rethrow_exception(failure);
                     });
}

}  // namespace lovagedale
