/// \file
/// Faults in the input of a connection that RESTinio ends without an answer.

#include "request_fault.h"

#include <charconv>
#include <string_view>

#include "restinio_response.h"
#include "teaselhill/net/error_response.h"

namespace teaselhill::net {

static ResultCode CodeOfParserError(std::string_view name) {
  const auto is = [name](std::string_view other) { return name == other; };
  if (is("HPE_CB_url") || is("HPE_CB_header_field") ||
      is("HPE_CB_header_value") || is("HPE_HEADER_OVERFLOW"))
    return ResultCode::kHeaderTooLarge;
  if (is("HPE_CB_headers_complete") || is("HPE_CB_body"))
    return ResultCode::kBodyTooLarge;
  return ResultCode::kMalformedRequest;
}

// The text is "[connection:7] parser error HPE_CB_body: ...".
void FaultLogger::OnError(const std::string& text) const {
  constexpr std::string_view kConnection = "[connection:";
  constexpr std::string_view kParserError = "] parser error ";
  restinio::connection_id_t connection = 0;
  const size_t parser_error = text.find(kParserError);
  if (text.compare(0, kConnection.size(), kConnection) == 0)
    std::from_chars(text.data() + kConnection.size(), text.data() + text.size(),
                    connection);
  if (parser_error != std::string::npos) {
    const size_t begin = parser_error + kParserError.size();
    policy_->fault = CodeOfParserError(
        std::string_view(text).substr(begin, text.find(':', begin) - begin));
  }
  // A refusal would run into the answer of an earlier request.
  if (table_->IsBusy(connection))
    policy_->fault.reset();
}

std::string RefusalText(ResultCode code, bool is_head) {
  const Error error{code, ""};
  const std::string body = ErrorBody(error);
  const restinio::http_status_line_t line =
      StatusLine(Describe(code).http_status);
  std::string text =
      "HTTP/1.1 " + std::to_string(line.status_code().raw_code()) + " " +
      line.reason_phrase() + "\r\nConnection: close\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n";
  for (const Header& header : ErrorHeaders(error, Duration::zero()))
    text += header.name + ": " + header.value + "\r\n";
  return text + "\r\n" + (is_head ? "" : body);
}

}  // namespace teaselhill::net
