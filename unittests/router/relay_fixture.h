/// \file
/// Test fixture: a relay between a scripted upstream and a recorded caller.

#ifndef TEASELHILL_UNITTESTS_ROUTER_RELAY_FIXTURE_H_
#define TEASELHILL_UNITTESTS_ROUTER_RELAY_FIXTURE_H_

#include <algorithm>
#include <asio.hpp>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "../net/raw_connection.h"
#include "teaselhill/net/http_client.h"
#include "teaselhill/router/relay.h"

namespace teaselhill::router {

inline std::string TokenEvent(const std::string& token) {
  return "data: {\"choices\":[{\"delta\":{\"content\":\"" + token +
         "\"}}]}\n\n";
}

constexpr char kDoneEvent[] = "data: [DONE]\n\n";

inline std::string Chunk(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

constexpr char kLastChunk[] = "0\r\n\r\n";

inline std::string StreamHead() {
  return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string WithLength(const std::string& status,
                              const std::string& further_lines,
                              const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + further_lines +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Bytes that answer one request.
struct ScriptedAnswer {
  std::string bytes;
  bool closes = false;  ///< the connection, after the bytes
};

/// Answers its requests by one script after the other.
class ScriptedUpstream {
 public:
  ScriptedUpstream(net::EventLoop& loop, std::vector<ScriptedAnswer> answers)
      : answers_(std::move(answers)),
        acceptor_(loop.context(), {asio::ip::make_address("127.0.0.1"), 0}) {
    Accept();
  }

  enum class Repetition {
    kNone,
    kAtOnce,           ///< each answer is written twice
    kBeforeNextAnswer  ///< on the same connection
  };
  void RepeatAnswers(Repetition repetition) { repetition_ = repetition; }

  std::string url() const {
    return "http://127.0.0.1:" +
           std::to_string(acceptor_.local_endpoint().port());
  }
  size_t connections() const { return connections_; }
  size_t requests() const { return requests_; }
  size_t open_connections() const { return open_connections_; }

  /// Writes on the connection of the last request.
  void Send(const std::string& bytes, bool closes = false) {
    Write(last_connection_, std::make_shared<std::string>(bytes), closes);
  }

 private:
  struct Connection {
    explicit Connection(asio::any_io_executor executor) : socket(executor) {}
    asio::ip::tcp::socket socket;
    std::string received;
    std::string last_answer;
  };

  void Accept() {
    const auto connection =
        std::make_shared<Connection>(acceptor_.get_executor());
    acceptor_.async_accept(connection->socket,
                           [this, connection](const asio::error_code& error) {
                             if (error)
                               return;
                             ++connections_;
                             ++open_connections_;
                             Read(connection);
                             Accept();
                           });
  }

  /// Requests of these tests have no body.
  void Read(const std::shared_ptr<Connection>& connection) {
    asio::async_read_until(
        connection->socket, asio::dynamic_buffer(connection->received),
        "\r\n\r\n",
        [this, connection](const asio::error_code& error, size_t size) {
          if (error) {
            --open_connections_;
            return;
          }
          connection->received.erase(0, size);
          Answer(connection);
        });
  }

  void Answer(const std::shared_ptr<Connection>& connection) {
    const ScriptedAnswer& answer =
        answers_[std::min(requests_++, answers_.size() - 1)];
    const auto bytes = std::make_shared<std::string>(answer.bytes);
    if (repetition_ == Repetition::kAtOnce)
      *bytes += answer.bytes;
    else if (repetition_ == Repetition::kBeforeNextAnswer)
      *bytes = connection->last_answer + answer.bytes;
    connection->last_answer = answer.bytes;
    last_connection_ = connection;
    Write(connection, bytes, answer.closes);
    Read(connection);
  }

  void Write(const std::shared_ptr<Connection>& connection,
             const std::shared_ptr<std::string>& bytes,
             bool closes) {
    asio::async_write(
        connection->socket, asio::buffer(*bytes),
        [connection, bytes, closes](const asio::error_code& error, size_t) {
          if (error || closes)
            connection->socket.close();
        });
  }

  std::vector<ScriptedAnswer> answers_;
  Repetition repetition_ = Repetition::kNone;
  size_t connections_ = 0;
  size_t requests_ = 0;
  size_t open_connections_ = 0;
  std::shared_ptr<Connection> last_connection_;
  asio::ip::tcp::acceptor acceptor_;
};

/// What a caller has got.
struct ReceivedAnswer {
  int status = 0;
  std::string body;
  bool complete = false;
  size_t unread_bytes = 0;  ///< what a slow caller leaves to be sent
};

class RecordingWriter : public net::ResponseWriter {
 public:
  explicit RecordingWriter(ReceivedAnswer* answer) : answer_(*answer) {}

  void Respond(int status, net::Headers, std::string body) override {
    answer_.status = status;
    answer_.body += body;
    answer_.complete = true;
  }
  void Start(int status, net::Headers) override { answer_.status = status; }
  void Write(std::string data) override { answer_.body += data; }
  void Finish() override { answer_.complete = true; }
  void Abort() override {}
  size_t pending_bytes() const override { return answer_.unread_bytes; }
  void SetCloseHandler(std::function<void()>) override {}
  void SetDrainHandler(std::function<void()>) override {}
  void SetTurnHandler(std::function<void()>) override {}

 private:
  ReceivedAnswer& answer_;
};

class RecordingControl : public ControlPort {
 public:
  void OnArrived(RequestInfo) override {}
  void OnFirstToken(RequestId, int) override {}
  void OnProgress(std::vector<TokenProgress>) override {}
  void OnAttemptEnded(AttemptEnd end,
                      std::shared_ptr<const StoredAnswer>) override {
    ends.push_back(std::move(end));
  }
  void OnCallerDisconnected(RequestId) override {}
  void OnIdempotencyTokenRequested(int,
                                   RequestId,
                                   const std::string&) override {}

  std::vector<AttemptEnd> ends;
};

class RelayFixture {
 public:
  RelayFixture() {
    context.client = &client;
    context.control = &control;
  }

  /// Begins a request for a stream of the model `m`.
  std::shared_ptr<Relay> BeginStream(ReceivedAnswer* answer) {
    RequestInfo info;
    info.model = "m";
    info.idempotent = true;
    info.stream = true;
    return Begin(std::move(info), answer);
  }

  std::shared_ptr<Relay> Begin(RequestInfo info, ReceivedAnswer* answer) {
    info.id = ++last_request;
    info.external_id = "r" + std::to_string(info.id);
    return std::make_shared<Relay>(context, std::move(info), OutgoingRequest{},
                                   std::make_shared<RecordingWriter>(answer),
                                   /*store_answer=*/false);
  }

  /// Runs an attempt and returns how it ended.
  AttemptEnd Run(Relay& relay, AttemptCommand command) {
    command.request = relay.info().id;
    command.attempt = static_cast<int>(control.ends.size());
    const size_t ended = control.ends.size();
    relay.StartAttempt(command);
    net::RunUntil(loop, [&] { return control.ends.size() > ended; });
    return control.ends.back();
  }

  AttemptEnd Run(Relay& relay, const ScriptedUpstream& upstream) {
    AttemptCommand command;
    command.url = upstream.url();
    return Run(relay, command);
  }

  /// Bounds what the relays hold together.
  void UseBudget(size_t max_bytes) {
    budget = std::make_unique<net::MemoryBudget>(
        max_bytes,
        [this](std::function<void()> relief) { loop.Post(std::move(relief)); });
    context.budget = budget.get();
  }

  net::EventLoop loop;
  std::unique_ptr<net::MemoryBudget> budget;
  net::HttpClient client{loop};
  RecordingControl control;
  RelayContext context;
  RequestId last_request = 0;
};

}  // namespace teaselhill::router

#endif  // TEASELHILL_UNITTESTS_ROUTER_RELAY_FIXTURE_H_
