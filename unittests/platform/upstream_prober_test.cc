/// \file
/// Guards against a crashed upstream that is taken for a living one because
/// something accepts connections at its address, and the reverse.

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>

#include "platform/http_protocol.h"
#include "teaselhill/gateway/upstream_prober.h"
#include "teaselhill/net/event_loop.h"

namespace platform {

namespace {

namespace net = teaselhill::net;
using asio::ip::tcp;
using teaselhill::gateway::ProbeReport;
using teaselhill::gateway::UpstreamEntry;
using teaselhill::gateway::UpstreamProber;
using Outcome = ProbeReport::Outcome;

/// What stands at an upstream's address.
enum class Listener { kNone, kCloses, kSilent, kResponds };

/// Accepts one connection and treats it as told.
class Address {
 public:
  Address(net::EventLoop& loop, Listener listener, std::string response)
      : acceptor_(loop.context(), {asio::ip::make_address("127.0.0.1"), 0}),
        socket_(loop.context()),
        response_(std::move(response)) {
    address_ = "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    if (listener == Listener::kNone) {
      acceptor_.close();
      return;
    }
    acceptor_.async_accept(socket_, [this, listener](asio::error_code) {
      if (listener == Listener::kCloses)
        return Read([this] { socket_.close(); });
      if (listener == Listener::kResponds)
        Read([this] {
          asio::write(socket_, asio::buffer(response_));
          socket_.close();
        });
    });
  }

  const std::string& address() const { return address_; }

 private:
  template <typename Then>
  void Read(Then then) {
    asio::async_read_until(
        socket_, asio::dynamic_buffer(request_), "\r\n\r\n",
        [then = std::move(then)](asio::error_code, size_t) { then(); });
  }

  tcp::acceptor acceptor_;
  tcp::socket socket_;
  std::string address_;
  std::string request_;
  std::string response_;
};

}  // namespace

TEST_CASE("a probe tells who is at an upstream's address, if anybody") {
  struct Row {
    const char* name;
    Listener listener;
    const char* response;
    Outcome outcome;
    std::optional<std::string> id;
    std::optional<uint64_t> incarnation;
  };
  const Row row = GENERATE(values<Row>({
      {"nobody listens", Listener::kNone, "", Outcome::kRefused, {}, {}},
      {"a forwarder without its upstream",
       Listener::kCloses,
       "",
       Outcome::kClosed,
       {},
       {}},
      {"no answer", Listener::kSilent, "", Outcome::kSilent, {}, {}},
      {"the upstream",
       Listener::kResponds,
       "HTTP/1.1 200 OK\r\nX-Instance-Id: e\r\nContent-Length: 0\r\n\r\n",
       Outcome::kAnswered,
       "e",
       {}},
      {"the upstream, with its start", Listener::kResponds,
       "HTTP/1.1 200 OK\r\nX-Instance-Id: e\r\nContent-Length: 13\r\n\r\n"
       "{\"born\":1234}",
       Outcome::kAnswered, "e", 1234},
      {"a full upstream",
       Listener::kResponds,
       "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
       Outcome::kAnswered,
       {},
       {}},
      {"the next upstream at the address",
       Listener::kResponds,
       "HTTP/1.1 421 Wrong\r\nX-Instance-Id: f\r\nContent-Length: 0\r\n\r\n",
       Outcome::kAnswered,
       "f",
       {}},
      {"bytes that are no response",
       Listener::kResponds,
       "\x01\x02 no response\r\n\r\n",
       Outcome::kAnswered,
       {},
       {}},
  }));
  INFO(row.name);
  net::EventLoop loop;
  net::HttpClient client(loop);
  const UpstreamHeaders protocol;
  // Only the silent listener waits for the timeout.
  UpstreamProber prober(client, protocol,
                        row.listener == Listener::kSilent
                            ? std::chrono::milliseconds(50)
                            : std::chrono::milliseconds(10000));
  const Address address(loop, row.listener, row.response);
  UpstreamEntry upstream;
  upstream.id = "e";
  upstream.address = address.address();
  std::optional<ProbeReport> report;
  prober.Probe(upstream, "/healthz", [&](const ProbeReport& found) {
    report = found;
    loop.Stop();
  });
  loop.Run();
  REQUIRE(report);
  CHECK(report->outcome == row.outcome);
  CHECK(report->identity.id == row.id);
  CHECK(report->identity.incarnation == row.incarnation);
}

TEST_CASE("a probe of an invalid address says nothing on the upstream") {
  net::EventLoop loop;
  net::HttpClient client(loop);
  const UpstreamHeaders protocol;
  UpstreamProber prober(client, protocol, std::chrono::milliseconds(10000));
  UpstreamEntry upstream;
  upstream.address = GENERATE("", "127.0.0.1:", "127.0.0.1:x");
  std::optional<ProbeReport> report;
  prober.Probe(upstream, "/", [&](const ProbeReport& found) {
    report = found;
    loop.Stop();
  });
  loop.Run();
  REQUIRE(report);
  CHECK_FALSE(report->identity.id);
}

}  // namespace platform
