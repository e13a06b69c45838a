/// \file
/// Guards against an answer that is taken for whole though the server broke off
/// while the upload was still being written, and against statuses that no
/// answer may have. Requests, calls between hosts, health checks, load reports
/// and calls to the platform all go through this client.

#include <asio.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>

#include "one_answer_server.h"
#include "raw_connection.h"
#include "teaselhill/net/event_loop.h"
#include "teaselhill/net/http_client.h"

namespace teaselhill::net {

namespace {

constexpr size_t kUploadBytes = 3 << 20;

/// How a server ends the connection behind its early answer.
enum class Ending { kResetAtOnce, kResetLater, kShutdownThenReset };

/// Answers as soon as the head of the request has arrived, does not read the
/// body, and ends the connection.
class EarlyServer {
 public:
  EarlyServer(EventLoop& loop, std::string answer, Ending ending)
      : loop_(loop),
        answer_(std::move(answer)),
        ending_(ending),
        acceptor_(loop.context(), {asio::ip::make_address("127.0.0.1"), 0}),
        socket_(loop.context()) {
    acceptor_.async_accept(socket_, [this](asio::error_code) {
      asio::async_read_until(
          socket_, asio::dynamic_buffer(request_), "\r\n\r\n",
          [this](asio::error_code, size_t) { SendAnswer(); });
    });
  }

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(acceptor_.local_endpoint().port());
  }

 private:
  static constexpr std::chrono::milliseconds kLater{60};

  void SendAnswer() {
    asio::write(socket_, asio::buffer(answer_));
    if (ending_ == Ending::kResetAtOnce)
      return Reset();
    if (ending_ == Ending::kShutdownThenReset)
      socket_.shutdown(asio::ip::tcp::socket::shutdown_send);
    timer_ = loop_.timers().After(kLater, [this](TimePoint) { Reset(); });
  }

  void Reset() {
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
  }

  EventLoop& loop_;
  std::string answer_;
  Ending ending_;
  std::string request_;
  asio::ip::tcp::acceptor acceptor_;
  asio::ip::tcp::socket socket_;
  TimerSubscription timer_;
};

struct EarlyRow {
  const char* name;
  const char* lines;
  const char* body;
};

const EarlyRow kEarlyRows[] = {
    {"without a length", "", "part of the body"},
    {"without a length, connection closed", "Connection: close\r\n", "part"},
    {"events without a length", "Content-Type: text/event-stream\r\n",
     "id: 1\ndata: a\n\n"},
    {"a length that is not reached", "Content-Length: 400\r\n", "part"},
    {"chunks without their end", "Transfer-Encoding: chunked\r\n",
     "4\r\npart\r\n"},
};

ClientRequest MakeUpload(const std::string& url) {
  ClientRequest request;
  request.method = "POST";
  request.url = url;
  request.body.assign(kUploadBytes, 'x');
  request.fresh_connection = true;
  request.close_connection = true;
  return request;
}

}  // namespace

TEST_CASE("a part of an answer is no answer while the upload is written") {
  const EarlyRow row =
      GENERATE(from_range(std::begin(kEarlyRows), std::end(kEarlyRows)));
  const Ending ending = GENERATE(Ending::kResetAtOnce, Ending::kResetLater,
                                 Ending::kShutdownThenReset);
  INFO(row.name << ", ending " << static_cast<int>(ending));
  const std::string answer =
      std::string("HTTP/1.1 200 OK\r\n") + row.lines + "\r\n" + row.body;
  EventLoop loop;
  HttpClient client(loop);
  SECTION("a transfer") {
    const EarlyServer server(loop, answer, ending);
    const auto handler = std::make_shared<RecordingHandler>();
    client.Start(MakeUpload(server.url()), handler);
    RunUntil(loop, [&] { return handler->end().has_value(); });
    CAPTURE(handler->end()->detail);
    CHECK(handler->end()->code != ResultCode::kOk);
    CHECK(handler->end()->may_have_been_sent);
  }
  SECTION("a fetch") {
    const EarlyServer server(loop, answer, ending);
    std::optional<Result<ClientResponse>> fetched;
    client.Fetch(MakeUpload(server.url()), [&](Result<ClientResponse> result) {
      fetched.emplace(std::move(result));
    });
    RunUntil(loop, [&] { return fetched.has_value(); });
    CHECK_FALSE(fetched->ok());
  }
}

TEST_CASE("an answer whose status is none is no answer") {
  const char* status =
      GENERATE("000 Trouble", "0 Trouble", "000", "099 Trouble", "1000 Trouble",
               "2000 Trouble", "20 Trouble", "200OK", "20x Trouble",
               "-200 Trouble", "+200 Trouble", "600 Trouble", "999 Trouble",
               "abc Trouble", "", "OK", "101 Other Protocol");
  const char* lines = GENERATE("Content-Length: 4\r\n", "Connection: close\r\n",
                               "Transfer-Encoding: chunked\r\n");
  INFO(status << ", " << lines);
  const std::string body = std::string(lines).substr(0, 8) == "Transfer"
                               ? "4\r\nbody\r\n0\r\n\r\n"
                               : "body";
  const std::string answer =
      std::string("HTTP/1.1 ") + status + "\r\n" + lines + "\r\n" + body;
  EventLoop loop;
  HttpClient client(loop);
  SECTION("a transfer") {
    const OneAnswerServer server(loop, answer);
    ClientRequest request;
    request.url = server.url();
    const auto handler = std::make_shared<RecordingHandler>();
    client.Start(std::move(request), handler);
    RunUntil(loop, [&] { return handler->end().has_value(); });
    CHECK_FALSE(handler->has_head());
    CHECK(handler->body().empty());
    CHECK(handler->end()->code != ResultCode::kOk);
    CHECK(handler->end()->may_have_been_sent);
  }
  SECTION("a fetch") {
    const OneAnswerServer server(loop, answer);
    ClientRequest request;
    request.url = server.url();
    std::optional<Result<ClientResponse>> fetched;
    client.Fetch(std::move(request), [&](Result<ClientResponse> result) {
      fetched.emplace(std::move(result));
    });
    RunUntil(loop, [&] { return fetched.has_value(); });
    CHECK_FALSE(fetched->ok());
  }
}

// Guards against sound answers that are refused for their status line.
TEST_CASE("an answer with a sound status is whole") {
  const char* line =
      GENERATE("HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200",
               "HTTP/1.1 200 ", "HTTP/1.1 599 Trouble", "HTTP/1.1 404 200 000");
  INFO(line);
  EventLoop loop;
  HttpClient client(loop);
  const OneAnswerServer server(
      loop, std::string(line) + "\r\nContent-Length: 4\r\n\r\nbody");
  ClientRequest request;
  request.url = server.url();
  const auto handler = std::make_shared<RecordingHandler>();
  client.Start(std::move(request), handler);
  RunUntil(loop, [&] { return handler->end().has_value(); });
  CHECK(handler->status() == std::stoi(std::string(line).substr(9, 3)));
  CHECK(handler->body() == "body");
  CHECK(handler->end()->code == ResultCode::kOk);
}

}  // namespace teaselhill::net
