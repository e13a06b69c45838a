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
enum class Listener { kNone, kCloses, kSilent, kResponds, kPours };

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
      if (listener == Listener::kPours)
        Read([this] { Pour(); });
      if (listener == Listener::kResponds)
        Read([this] {
          asio::write(socket_, asio::buffer(response_));
          socket_.close();
        });
    });
  }

  const std::string& address() const { return address_; }
  size_t poured_bytes() const { return poured_bytes_; }

 private:
  /// Writes the response again and again until the connection ends.
  void Pour() {
    asio::async_write(socket_, asio::buffer(response_),
                      [this](asio::error_code error, size_t size) {
                        poured_bytes_ += size;
                        if (!error)
                          Pour();
                      });
  }

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
  size_t poured_bytes_ = 0;
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

// Health answers that do not end filled the memory of the host, and their
// upstream counted as silent.
TEST_CASE("a health answer without end counts by its head") {
  struct Row {
    const char* name;
    const char* framing;
    Listener listener;
  };
  const Row row = GENERATE(values<Row>({
      {"poured, unframed", "", Listener::kPours},
      {"poured, with a length", "Content-Length: 999999999\r\n",
       Listener::kPours},
  }));
  INFO(row.name);
  constexpr size_t kMaxPouredBytes = 32 << 20;  // socket buffers
  net::EventLoop loop;
  net::HttpClient client(loop);
  const UpstreamHeaders protocol;
  UpstreamProber prober(client, protocol, std::chrono::milliseconds(10000));
  const Address address(loop, row.listener,
                        "HTTP/1.1 200 OK\r\nX-Instance-Id: e\r\n" +
                            std::string(row.framing) + "\r\n" +
                            std::string(1 << 20, 'x'));
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
  CHECK(report->outcome == Outcome::kAnswered);
  CHECK(report->identity.id == "e");
  CHECK_FALSE(report->identity.incarnation);
  CHECK(address.poured_bytes() < kMaxPouredBytes);
}

// An upstream that sends its head and then a byte now and then is alive.
TEST_CASE("a health answer that does not end in time counts by its head") {
  net::EventLoop loop;
  net::HttpClient client(loop);
  const UpstreamHeaders protocol;
  UpstreamProber prober(client, protocol, std::chrono::milliseconds(100));
  asio::ip::tcp::acceptor acceptor(loop.context(),
                                   {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket socket(loop.context());
  acceptor.async_accept(socket, [&](asio::error_code) {
    asio::write(socket, asio::buffer(std::string(
                            "HTTP/1.1 200 OK\r\nX-Instance-Id: e\r\n\r\nx")));
  });
  UpstreamEntry upstream;
  upstream.id = "e";
  upstream.address =
      "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  std::optional<ProbeReport> report;
  prober.Probe(upstream, "/healthz", [&](const ProbeReport& found) {
    report = found;
    loop.Stop();
  });
  loop.Run();
  REQUIRE(report);
  CHECK(report->outcome == Outcome::kAnswered);
  CHECK(report->identity.id == "e");
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
