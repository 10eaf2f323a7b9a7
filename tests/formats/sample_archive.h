#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>
#include <cstdint>
#include <optional>
#include <type_traits>
#include <variant>

namespace lovagedale::testing {

/// Fills a message through its `serialize`, so that each of its fields is set:
/// numbers count up, optional values are present, containers have two elements,
/// enumerations have their second value.
class sample_archive
    : public cereal::InputArchive<sample_archive,
                                  cereal::AllowEmptyClassElision> {
 public:
  /// Of each variant, the alternative number `alternative` is chosen, modulo
  /// the number of alternatives.
  explicit sample_archive(std::size_t alternative)
      : cereal::InputArchive<sample_archive, cereal::AllowEmptyClassElision>(
            this),
        alternative_(alternative) {}

  auto Next() -> std::uint64_t { return ++last_; }
  auto alternative() const -> std::size_t { return alternative_; }

 private:
  std::size_t alternative_;
  std::uint64_t last_ = 0;
};

template <typename T>
requires std::is_arithmetic_v<T>
auto CEREAL_LOAD_FUNCTION_NAME(sample_archive& archive, T& value) -> void {
  if constexpr (std::is_same_v<T, bool>) {
    value = true;
  } else if constexpr (sizeof(T) == 1) {
    // Also an enumeration's value.
    value = 1;
  } else if constexpr (std::is_floating_point_v<T>) {
    value = static_cast<T>(archive.Next()) / 8;
  } else {
    value = static_cast<T>(archive.Next());
  }
}

template <typename T>
auto CEREAL_SERIALIZE_FUNCTION_NAME(sample_archive& archive,
                                    cereal::NameValuePair<T>& item) -> void {
  archive(item.value);
}

template <typename T>
auto CEREAL_LOAD_FUNCTION_NAME(sample_archive& /*archive*/,
                               cereal::SizeTag<T>& count) -> void {
  count.size = 2;
}

template <typename T>
auto CEREAL_LOAD_FUNCTION_NAME(sample_archive& archive,
                               cereal::BinaryData<T>& data) -> void {
  auto* bytes = static_cast<char*>(data.data);
  for (std::uint64_t i = 0; i < data.size; ++i) {
    bytes[i] = static_cast<char>('a' + archive.Next() % 26);
  }
}

template <typename T>
auto CEREAL_LOAD_FUNCTION_NAME(sample_archive& archive, std::optional<T>& value)
    -> void {
  archive(value.emplace());
}

template <typename... Alternatives>
auto CEREAL_LOAD_FUNCTION_NAME(sample_archive& archive,
                               std::variant<Alternatives...>& value) -> void {
  const auto wanted = archive.alternative() % sizeof...(Alternatives);
  std::size_t index = 0;
  const auto set = [&](auto item) {
    if (index++ != wanted) return;
    archive(item);
    value = std::move(item);
  };
  (set(Alternatives{}), ...);
}

template <typename Message>
auto MakeSample(std::size_t alternative = 0) -> Message {
  Message message;
  sample_archive archive(alternative);
  archive(message);
  return message;
}

}  // namespace lovagedale::testing

CEREAL_REGISTER_ARCHIVE(lovagedale::testing::sample_archive)
CEREAL_SETUP_ARCHIVE_TRAITS(lovagedale::testing::sample_archive,
                            cereal::BinaryOutputArchive)
