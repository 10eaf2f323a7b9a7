#include "lovagedale/configuration/view_update.h"

#include <algorithm>

#include "lovagedale/common/codec.h"
#include "lovagedale/common/hash.h"

namespace lovagedale {

auto ToString(routes_form form) -> const char* {
  switch (form) {
    case routes_form::kUnchanged:
      return "unchanged";
    case routes_form::kChanges:
      return "changes";
    case routes_form::kComplete:
      return "complete";
  }
  return "unknown";
}

auto view_update_source::Observe(const fleet_view& view) -> void {
  if (!kept_.empty() && kept_.back().config.version == view.routes.version) {
    return;
  }
  latest_routes_ = EncodeFixed(view.routes);
  changes_.clear();
  kept_.push_back({view.routes, Hash64(latest_routes_), latest_routes_.size()});
  kept_bytes_ += latest_routes_.size();
  while (kept_.size() > kMaxConfigs ||
         (kept_.size() > 1 && kept_bytes_ > kMaxKeptBytes)) {
    kept_bytes_ -= kept_.front().encoded_bytes;
    kept_.pop_front();
  }
}

auto view_update_source::ChangesFrom(std::uint64_t held) -> const std::string* {
  const auto kept =
      std::find_if(kept_.begin(), kept_.end(),
                   [held](const auto& item) { return item.hash == held; });
  if (kept == kept_.end()) return nullptr;
  auto cached = changes_.find(held);
  if (cached == changes_.end()) {
    cached = changes_
                 .emplace(held, EncodeFixed(FindRouteChanges(
                                    kept->config, kept_.back().config)))
                 .first;
  }
  return cached->second.size() < latest_routes_.size() ? &cached->second
                                                       : nullptr;
}

auto view_update_source::UpdateFor(const fleet_view& view,
                                   const view_position& held) -> view_update {
  Observe(view);
  view_update update;
  update.revision = view.revision;
  update.versions = view.versions;
  update.quarantines = view.quarantines;
  update.service_rollouts = view.service_rollouts;
  update.cold_limits = cold_limits_;
  if (held.document_hash != Hash64(view.document)) {
    update.document = view.document;
  }
  update.routes_hash = kept_.back().hash;
  if (held.routes_hash == update.routes_hash) return update;
  const auto* changes = ChangesFrom(held.routes_hash);
  update.form = changes ? routes_form::kChanges : routes_form::kComplete;
  update.routes = changes ? *changes : latest_routes_;
  return update;
}

auto held_view::RoutesAfter(const view_update& update) const
    -> std::optional<route_config> {
  if (update.form == routes_form::kChanges) {
    auto routes = ApplyRouteChanges(DecodeFixed<route_changes>(update.routes),
                                    view_.routes);
    if (!routes || HashRoutes(*routes) != update.routes_hash) {
      throw codec_error("the changes lead to other routes");
    }
    return routes;
  }
  const auto hash = update.form == routes_form::kComplete
                        ? Hash64(update.routes)
                        : position_.routes_hash;
  if (hash != update.routes_hash) throw codec_error("these are other routes");
  if (update.form == routes_form::kUnchanged) return std::nullopt;
  return DecodeFixed<route_config>(update.routes);
}

auto held_view::Apply(const view_update& update) -> std::optional<std::string> {
  std::optional<route_config> routes;
  try {
    routes = RoutesAfter(update);
  } catch (const codec_error& error) {
    position_ = {};
    return error.what();
  }
  if (update.document) {
    view_.document = *update.document;
    position_.document_hash = Hash64(view_.document);
  }
  if (routes) {
    view_.routes = std::move(*routes);
    position_.routes_hash = update.routes_hash;
  }
  view_.revision = update.revision;
  view_.versions = update.versions;
  view_.quarantines = update.quarantines;
  view_.service_rollouts = update.service_rollouts;
  return std::nullopt;
}

auto held_view::Replace(fleet_view view) -> void {
  view_ = std::move(view);
  position_ = {Hash64(view_.document), HashRoutes(view_.routes)};
}

}  // namespace lovagedale
