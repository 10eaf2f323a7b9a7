#include "lovagedale/common/spawn.h"

#include <doctest/doctest.h>

#include <boost/asio/steady_timer.hpp>
#include <stdexcept>

#include "lovagedale/common/fiber_event.h"

namespace lovagedale::testing {

TEST_CASE("a background fiber's exception is rethrown by the event loop") {
  boost::asio::io_context context;
  SpawnTask(context, [&](boost::asio::yield_context yield) {
    boost::asio::steady_timer timer(context, std::chrono::milliseconds(1));
    timer.async_wait(yield);
    throw std::runtime_error("disk is full");
  });
  CHECK_THROWS_WITH(context.run(), "disk is full");
}

TEST_CASE("a fiber's wait ends when the event is set or the timeout expires") {
  boost::asio::io_context context;
  const fiber_event event(context.get_executor());
  const fiber_event unset_event(context.get_executor());
  bool event_arrived = false;
  bool second_event_arrived = true;
  SpawnTask(context, [&](boost::asio::yield_context yield) {
    event_arrived = event.Wait(std::chrono::hours(1), yield);
    second_event_arrived =
        unset_event.Wait(std::chrono::milliseconds(1), yield);
  });
  boost::asio::post(context, [&] { event.Set(); });
  context.run();
  CHECK(event_arrived);
  CHECK_FALSE(second_event_arrived);
}

}  // namespace lovagedale::testing
