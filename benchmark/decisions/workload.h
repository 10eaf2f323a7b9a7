#pragma once

#include <array>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace lovagedale::benchmark {

/// One version as the workload knows it.
struct true_version {
  std::string name;
  double price = 1;        ///< per answer of mean length
  double good_easy = 0.9;  ///< chance of a good answer to an easy request
  double good_hard = 0.5;
  double first_ms = 50;    ///< time to the first token
  double answer_ms = 500;  ///< time to the whole answer
};

struct true_class {
  std::string name;
  double weight = 1;
  double easy_share = 0.5;
};

/// Shape of a workload. Fixed before any policy was tuned.
struct workload_shape {
  std::string name;
  double target = 0.85;
  double rating_price = 0.5;
  std::vector<true_version> versions;  ///< by rising price
  std::vector<true_class> classes;
};

/// One request with everything that is hidden from the policies.
struct true_request {
  std::size_t class_index = 0;
  double length = 1;           ///< relative answer length; heavy-tailed, mean 1
  std::vector<bool> good;      ///< by version
  std::vector<double> signal;  ///< by version
  std::vector<double> chance;  ///< of a good answer, by version
};

/// Shapes: mostly easy requests, cheap versions rarely suffice, even.
auto Shapes() -> const std::vector<workload_shape>&;

auto DrawRequest(const workload_shape& shape, std::mt19937_64& random)
    -> true_request;

}  // namespace lovagedale::benchmark
