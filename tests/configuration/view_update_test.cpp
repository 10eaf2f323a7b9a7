#include "lovagedale/configuration/view_update.h"

#include <doctest/doctest.h>

#include "lovagedale/common/codec.h"

namespace lovagedale::testing {
namespace {

constexpr std::size_t kManyRoutes = 1'450;

auto ViewOf(config_revision revision, route_config_version version,
            std::size_t route_count) -> fleet_view {
  fleet_view view;
  view.revision = revision;
  view.document = "{}";
  view.routes.version = version;
  for (std::size_t i = 0; i < route_count; ++i) {
    route item;
    item.name = "route-" + std::to_string(i);
    item.host = "shop.example";
    item.prefix = "/" + item.name + "/";
    item.services = {{"engines", 1}};
    view.routes.routes.push_back(item);
  }
  return view;
}

}  // namespace

// Guards against: each change of a roll-out sent all routes to every entry, so
// that answers of servers waited behind them on the entries' links.
TEST_CASE("an entry that is behind by a roll-out change receives no routes") {
  view_update_source source;
  held_view held;
  auto view = ViewOf(14, 38, kManyRoutes);
  REQUIRE_FALSE(held.Apply(source.UpdateFor(view, held.position())));
  view.revision = 15;
  view.service_rollouts.push_back({});
  view.quarantines.push_back({1, 2, "ran on two servers that crashed"});
  const auto update = source.UpdateFor(view, held.position());
  CHECK(update.form == routes_form::kUnchanged);
  CHECK(Encode(update).size() < 500);
  REQUIRE_FALSE(held.Apply(update));
  CHECK(held.view() == view);
}

// Guards against: a configuration that adds a few routes was sent whole.
TEST_CASE("an entry with a recent configuration receives only the changes") {
  view_update_source source;
  std::vector<held_view> entries;
  for (route_config_version version = 1;
       version <= view_update_source::kMaxConfigs; ++version) {
    const auto view = ViewOf(version, version, kManyRoutes + version);
    held_view held;
    REQUIRE_FALSE(held.Apply(source.UpdateFor(view, held.position())));
    entries.push_back(held);
  }
  const auto latest = ViewOf(8, 8, kManyRoutes + 8);
  for (auto& held : entries) {
    const auto update = source.UpdateFor(latest, held.position());
    CHECK(Encode(update).size() < 2'000);
    REQUIRE_FALSE(held.Apply(update));
    CHECK(held.view() == latest);
  }
  // One more configuration, and the first is no longer kept.
  held_view first;
  view_update_source other;
  REQUIRE_FALSE(
      first.Apply(other.UpdateFor(ViewOf(1, 1, kManyRoutes + 1), {})));
  const auto next = ViewOf(9, 9, kManyRoutes + 9);
  const auto update = source.UpdateFor(next, first.position());
  CHECK(update.form == routes_form::kComplete);
  REQUIRE_FALSE(first.Apply(update));
  CHECK(first.view() == next);
}

TEST_CASE("the document is sent only to entries that have another one") {
  view_update_source source;
  held_view held;
  auto view = ViewOf(1, 1, 1);
  REQUIRE_FALSE(held.Apply(source.UpdateFor(view, held.position())));
  view.revision = 2;
  CHECK_FALSE(source.UpdateFor(view, held.position()).document.has_value());
  view.document = R"({"models":[]})";
  REQUIRE_FALSE(held.Apply(source.UpdateFor(view, held.position())));
  CHECK(held.view() == view);
}

TEST_CASE("after an update that does not fit, the entry asks for all of it") {
  view_update_source source;
  held_view held;
  const auto first = ViewOf(1, 1, 10);
  REQUIRE_FALSE(held.Apply(source.UpdateFor(first, held.position())));
  const auto second = ViewOf(2, 2, 12);
  const auto good = source.UpdateFor(second, held.position());
  REQUIRE(good.form == routes_form::kChanges);
  for (const auto form : {routes_form::kUnchanged, routes_form::kChanges,
                          routes_form::kComplete}) {
    for (const auto& routes : {std::string(), std::string("x"),
                               Encode(route_changes{}), Encode(first.routes)}) {
      auto entry = held;
      auto bad = good;
      bad.form = form;
      bad.routes = routes;
      CHECK(entry.Apply(bad).has_value());
      CHECK(entry.view() == first);
      CHECK(entry.position() == view_position{});
      REQUIRE_FALSE(entry.Apply(source.UpdateFor(second, entry.position())));
      CHECK(entry.view() == second);
    }
  }
}

}  // namespace lovagedale::testing
