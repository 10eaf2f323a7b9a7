#include "lovagedale/common/spawn.h"

#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>
#include <stdexcept>

#include "lovagedale/common/fiber_event.h"

namespace lovagedale::testing {

TEST_CASE("a background task that fails stops the event loop with its reason") {
  boost::asio::io_context context;
  SpawnTask(context, [&](boost::asio::yield_context yield) {
    boost::asio::steady_timer timer(context, std::chrono::milliseconds(1));
    timer.async_wait(yield);
    throw std::runtime_error("disk is full");
  });
  CHECK_THROWS_WITH(context.run(), "disk is full");
}

TEST_CASE("a fiber's wait ends with the event or the timeout") {
  boost::asio::io_context context;
  const fiber_event set(context.get_executor());
  const fiber_event never(context.get_executor());
  bool first = false;
  bool second = true;
  SpawnTask(context, [&](boost::asio::yield_context yield) {
    first = set.Wait(std::chrono::hours(1), yield);
    second = never.Wait(std::chrono::milliseconds(1), yield);
  });
  boost::asio::post(context, [&] { set.Set(); });
  context.run();
  CHECK(first);
  CHECK_FALSE(second);
}

}  // namespace lovagedale::testing
