#pragma once

#include <string>
#include <vector>

namespace lovagedale::benchmark {

enum class bound_kind { kAtMost, kAtLeast, kNone };

/// One measured figure beside its bound. The bound comes from the stated
/// target, never from the figure.
struct figure {
  std::string name;
  double value = 0;
  bound_kind kind = bound_kind::kNone;
  double bound = 0;
  std::string note;

  auto IsMet() const -> bool;
};

/// Collects figures and prints them as lines and as JSON.
class figure_report {
 public:
  auto Add(figure item) -> void { figures_.push_back(std::move(item)); }
  auto AtMost(const std::string& name, double value, double bound,
              const std::string& note = "") -> void;
  auto AtLeast(const std::string& name, double value, double bound,
               const std::string& note = "") -> void;
  auto Plain(const std::string& name, double value,
             const std::string& note = "") -> void;
  auto Print() const -> void;
  auto WriteJson(const std::string& path) const -> void;
  auto AreAllMet() const -> bool;

 private:
  std::vector<figure> figures_;
};

}  // namespace lovagedale::benchmark
