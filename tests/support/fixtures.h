#pragma once

#include <string>

namespace lovagedale::testing {

/// A small configuration: two zones, three versions of two models.
inline auto SmallDocument() -> std::string {
  return R"({
    "zones":[{"name":"akl-a","region":"nz-north"},
             {"name":"akl-b","region":"nz-north"}],
    "models":[
      {"name":"draft","versions":[
        {"name":"1","price_micros_per_1k_tokens":200,"expected_quality":0.6}]},
      {"name":"scholar","versions":[
        {"name":"1","price_micros_per_1k_tokens":2000,"expected_quality":0.9},
        {"name":"2","price_micros_per_1k_tokens":2200,"expected_quality":0.9,
         "when_cut_off":"refuse"}]}],
    "pools":[
      {"name":"lovage-pool","servers":[
        {"name":"e1","zone":"akl-a","host":"127.0.0.1","port":1001,"slots":4,
         "versions":["draft@1","scholar@1","scholar@2"]},
        {"name":"e2","zone":"akl-b","host":"127.0.0.1","port":1002,"slots":4,
         "versions":["draft@1","scholar@1","scholar@2"]}]},
      {"name":"cart-ledger","kind":"service","servers":[
        {"name":"s1","zone":"akl-a","host":"127.0.0.1","port":1003}]}],
    "customers":[
      {"name":"carts","key":"k1","versions":["scholar@1","draft@1","scholar@2"],
       "services":["cart-ledger"],"target_quality":0.8}]})";
}

/// `text` with the first occurrence of `from` replaced by `to`; throws
/// std::out_of_range if there is none.
inline auto Replace(std::string text, const std::string& from,
                    const std::string& to) -> std::string {
  text.replace(text.find(from), from.size(), to);
  return text;
}

}  // namespace lovagedale::testing
