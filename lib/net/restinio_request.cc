/// \file
/// Checks and conversion of a request that RESTinio has read.

#include "restinio_request.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace teaselhill::net {

size_t HeaderBytes(const restinio::http_request_header_t& header) {
  size_t bytes = 0;
  header.for_each_field([&bytes](const restinio::http_header_field_t& field) {
    bytes += field.name().size() + field.value().size();
  });
  return bytes;
}

static bool IsToken(std::string_view name) {
  constexpr std::string_view kSeparators = "()<>@,;:\\\"/[]?={}";
  return std::all_of(name.begin(), name.end(), [&](char c) {
    return c > ' ' && c < 0x7f && kSeparators.find(c) == std::string_view::npos;
  });
}

std::optional<Error> FindAmbiguity(
    const restinio::http_request_header_t& header) {
  std::optional<Error> fault;
  int encodings = 0;
  header.for_each_field([&](const restinio::http_header_field_t& field) {
    if (!IsToken(field.name()))
      fault = Error{ResultCode::kMalformedRequest,
                    "a header name holds a character that is not allowed"};
    if (SameHeaderName(field.name(), "Transfer-Encoding") &&
        (++encodings > 1 || !SameHeaderName(field.value(), "chunked")))
      fault = Error{ResultCode::kMalformedRequest,
                    "transfer-encoding: only 'chunked' is supported"};
  });
  return fault;
}

HttpRequest ToRequest(restinio::request_t& request) {
  HttpRequest converted;
  converted.method = request.header().method().c_str();
  converted.target = request.header().request_target();
  converted.path = std::string(request.header().path());
  converted.query = std::string(request.header().query());
  converted.body = std::move(request.body());
  converted.remote_address = request.remote_endpoint().address().to_string();
  request.header().for_each_field(
      [&converted](const restinio::http_header_field_t& field) {
        converted.headers.push_back({field.name(), field.value()});
      });
  return converted;
}

}  // namespace teaselhill::net
