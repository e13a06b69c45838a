/// \file
/// Guards against a refusal of one request that its caller takes for the answer
/// to the request before it: "not run" of a request that is running.

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "raw_connection.h"
#include "teaselhill/net/http_server.h"
#include "teaselhill/net/memory_budget.h"

namespace teaselhill::net {

namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxBodyBytes = 1 << 20;

/// Keeps the answer to /slow back; answers others at once.
class SlowHandler : public HttpHandler {
 public:
  void Handle(HttpRequest request,
              std::shared_ptr<ResponseWriter> response) override {
    if (request.path == "/slow")
      slow = std::move(response);
    else
      response->Respond(200, {}, "quick");
  }

  std::shared_ptr<ResponseWriter> slow;
};

std::string Upload(size_t content_length, size_t sent_bytes) {
  return "POST /upload HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(content_length) + "\r\n\r\n" +
         std::string(sent_bytes, 'x');
}

}  // namespace

TEST_CASE("a refusal never answers for the request before it") {
  struct Row {
    const char* name;
    std::string behind;
  };
  const Row row = GENERATE(values<Row>({
      {"stalled upload", Upload(kMaxBodyBytes, kMaxBodyBytes - 1)},
      {"body over the limit", Upload(2 * kMaxBodyBytes, 10)},
      {"chunks over the limit of the input",
       "POST /upload HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
       "\r\n" +
           [] {
             std::string chunks;
             for (int i = 0; i < 600'000; ++i)
               chunks += "1\r\nx\r\n";
             return chunks;
           }()},
      {"header over the limit",
       "GET / HTTP/1.1\r\nA: " + std::string(100'000, 'x') + "\r\n\r\n"},
      {"no HTTP", "nonsense\r\n\r\n"},
  }));
  INFO(row.name);
  EventLoop loop;
  SlowHandler handler;
  MemoryBudget budget(kMaxBodyBytes, [&](std::function<void()> function) {
    loop.Post(std::move(function));
  });
  HttpServerOptions options;
  options.max_body_bytes = kMaxBodyBytes;
  options.memory_budget = &budget;
  HttpServer server(loop, options, handler);
  REQUIRE(server.Start().ok());
  RawConnection caller(loop, server.port());
  caller.Read();
  caller.Send("POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n" +
              row.behind);
  RunUntil(loop, [&] { return handler.slow != nullptr; });
  // Another upload takes the rest of the memory for requests.
  RawConnection other(loop, server.port());
  other.Read();
  other.Send(Upload(kMaxBodyBytes, kMaxBodyBytes - 1));
  bool is_over = false;
  const auto timer = loop.timers().After(milliseconds(1500),
                                         [&](TimePoint) { is_over = true; });
  RunUntil(loop, [&] { return is_over || caller.closed(); });
  INFO(caller.received().substr(0, 300));
  CHECK(caller.received().empty());
  if (caller.closed())
    return;
  handler.slow->Respond(200, {}, "slow");
  RunUntil(loop, [&] { return caller.Count("slow") == 1; });
  CHECK(caller.received().rfind("HTTP/1.1 200", 0) == 0);
}

}  // namespace teaselhill::net
