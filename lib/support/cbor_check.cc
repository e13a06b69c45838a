/// \file
/// Counts levels and values of CBOR.

#include "teaselhill/support/cbor_check.h"

#include <nlohmann/json.hpp>

namespace teaselhill {

namespace {

using Json = nlohmann::json;

/// Ends the parser at the first value over a bound.
class Counter : public nlohmann::json_sax<Json> {
 public:
  bool null() override { return Count(); }
  bool boolean(bool) override { return Count(); }
  bool number_integer(number_integer_t) override { return Count(); }
  bool number_unsigned(number_unsigned_t) override { return Count(); }
  bool number_float(number_float_t, const string_t&) override {
    return Count();
  }
  bool string(string_t&) override { return Count(); }
  bool binary(binary_t&) override { return Count(); }
  bool key(string_t&) override { return Count(); }
  bool start_object(size_t) override { return Enter(); }
  bool end_object() override { return Leave(); }
  bool start_array(size_t) override { return Enter(); }
  bool end_array() override { return Leave(); }
  bool parse_error(size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

 private:
  bool Count() { return ++values_ <= kMaxCborValues; }
  bool Enter() { return ++depth_ <= kMaxCborDepth && Count(); }
  bool Leave() {
    --depth_;
    return true;
  }

  size_t depth_ = 0;
  size_t values_ = 0;
};

}  // namespace

bool IsBoundedCbor(std::string_view bytes) {
  Counter counter;
  return Json::sax_parse(bytes.begin(), bytes.end(), &counter,
                         Json::input_format_t::cbor);
}

}  // namespace teaselhill
