#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <exception>
#include <utility>

namespace lovagedale {

/// Starts a background fiber that must not end by an exception: one that does
/// throws it out of the event loop, so that the process stops with a reason
/// instead of going on without the fiber. (boost::asio::detached drops it.)
template <typename Function>
auto SpawnTask(boost::asio::io_context& context, Function&& function) -> void {
  boost::asio::spawn(context, std::forward<Function>(function),
                     [](std::exception_ptr failure) {
                       if (failure) std::rethrow_exception(failure);
                     });
}

}  // namespace lovagedale
