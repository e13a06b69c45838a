/// \file
/// Guards against a process that is taken for ended while it listens, and the
/// reverse.

#include "teaselhill/net/connect_probe.h"

#include <catch2/catch.hpp>
#include <optional>

#include "teaselhill/net/http_server.h"

namespace teaselhill::net {

namespace {

class NoHandler : public HttpHandler {
 public:
  void Handle(HttpRequest, std::shared_ptr<ResponseWriter>) override {}
};

ProbeResult ProbeAndWait(EventLoop& loop, const std::string& address) {
  std::optional<ProbeResult> found;
  ProbeConnect(loop, address, std::chrono::seconds(5), [&](ProbeResult result) {
    found = result;
    loop.Stop();
  });
  loop.Run();
  REQUIRE(found);
  return *found;
}

}  // namespace

TEST_CASE("a probe tells a listening port from one that nobody listens at") {
  const bool listening = GENERATE(true, false);
  EventLoop loop;
  NoHandler handler;
  std::string address;
  std::optional<HttpServer> server(std::in_place, loop, HttpServerOptions{},
                                   handler);
  REQUIRE(server->Start().ok());
  address = "127.0.0.1:" + std::to_string(server->port());
  if (!listening)
    server.reset();
  CHECK(ProbeAndWait(loop, address) ==
        (listening ? ProbeResult::kListening : ProbeResult::kNotListening));
}

TEST_CASE("a probe of an invalid address has no result") {
  EventLoop loop;
  const std::string address =
      GENERATE("", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "host:80");
  CHECK(ProbeAndWait(loop, address) == ProbeResult::kUnknown);
}

}  // namespace teaselhill::net
