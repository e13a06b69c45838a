/// \file
/// Guards against servers that send without end, in a head or a body: the
/// client would keep all of it, or read on for as long as the server sends.

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "endless_server.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/http_client.h"

namespace teaselhill::net {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr size_t kMaxHeadBytes = 32 << 10;
constexpr size_t kMaxBodyBytes = 256 << 10;

class EndHandler : public TransferHandler {
 public:
  explicit EndHandler(EventLoop& loop) : loop_(loop) {}
  void OnHead(int, const Headers&) override {}
  void OnData(std::string_view data) override { received_ += data.size(); }
  void OnEnd(const TransferEnd& end) override {
    end_ = end;
    loop_.Stop();
  }
  size_t received() const { return received_; }
  const std::optional<TransferEnd>& end() const { return end_; }

 private:
  EventLoop& loop_;
  size_t received_ = 0;
  std::optional<TransferEnd> end_;
};

struct Row {
  const char* name;
  const char* beginning;
  const char* repeated;
};

const Row kRows[] = {
    {"no answer", "", "\x01\x02 not an answer "},
    {"no line end", "", "HTTP/1.1 200 OK "},
    {"head lines", "HTTP/1.1 200 OK\r\n", "X-More: of the same\r\n"},
    {"one head line", "HTTP/1.1 200 OK\r\nX-Long: ", "of the same "},
    {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
    {"body without a length", "HTTP/1.1 200 OK\r\n\r\n", "more "},
    {"body in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "5\r\nmore \r\n"},
    {"head of chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
     "0000000000000000"},
    {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
     "X-More: of the same\r\n"},
};

}  // namespace

TEST_CASE("a transfer ends when an answer exceeds its bounds") {
  const Row row = GENERATE(from_range(std::begin(kRows), std::end(kRows)));
  INFO(row.name);
  EndlessServer server(row.beginning, row.repeated);
  EventLoop loop;
  HttpClient client(loop);
  ClientRequest request;
  request.url = server.url();
  request.max_head_bytes = kMaxHeadBytes;
  request.max_body_bytes = kMaxBodyBytes;
  const auto handler = std::make_shared<EndHandler>(loop);
  client.Start(std::move(request), handler);
  const auto timeout =
      loop.timers().After(seconds(10), [&loop](TimePoint) { loop.Stop(); });
  loop.Run();
  REQUIRE(handler->end());
  CHECK(handler->end()->code == ResultCode::kProtocolError);
  CHECK(handler->received() <= kMaxBodyBytes);
  CHECK(server.sent() <= kBufferedBytes);
}

TEST_CASE("a fetch ends when an answer exceeds its bounds") {
  const Row row = GENERATE(from_range(std::begin(kRows), std::end(kRows)));
  INFO(row.name);
  EndlessServer server(row.beginning, row.repeated);
  EventLoop loop;
  HttpClient client(loop);
  ClientRequest request;
  request.url = server.url();
  request.total_timeout = seconds(10);
  ResultCode code = ResultCode::kOk;
  client.Fetch(
      std::move(request),
      [&](const Result<ClientResponse>& response) {
        code = response ? ResultCode::kOk : response.error().code;
        loop.Stop();
      },
      kMaxBodyBytes);
  loop.Run();
  CHECK(code == ResultCode::kProtocolError);
  CHECK(server.sent() <= kBufferedBytes);
}

}  // namespace teaselhill::net
