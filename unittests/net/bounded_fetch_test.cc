/// \file
/// Guards the memory that collected answers take: answers whose head says
/// everything, many unfinished ones together, and what libcurl keeps of a
/// transfer that is paused.

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "endless_server.h"
#include "one_answer_server.h"
#include "raw_connection.h"
#include "teaselhill/net/http_client.h"
#include "teaselhill/net/http_server.h"

namespace teaselhill::net {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using FetchResult = std::optional<Result<ClientResponse>>;

ClientRequest RequestTo(const std::string& url) {
  ClientRequest request;
  request.url = url;
  request.total_timeout = seconds(10);
  return request;
}

struct HeadRow {
  const char* name;
  const char* beginning;
  const char* repeated;
  int status;
};

const HeadRow kHeadRows[] = {
    {"body without a length", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", "more ",
     200},
    {"body in chunks",
     "HTTP/1.1 404 Not Found\r\nX-A: b\r\n"
     "Transfer-Encoding: chunked\r\n\r\n",
     "5\r\nmore \r\n", 404},
    {"interim answer",
     "HTTP/1.1 100 Continue\r\n\r\n"
     "HTTP/1.1 503 Busy\r\nX-A: b\r\nContent-Length: 99999999\r\n\r\n",
     "more ", 503},
};

/// Sends the number of bytes that the path names and leaves the body open.
class SizedHandler : public HttpHandler {
 public:
  void Handle(HttpRequest request,
              std::shared_ptr<ResponseWriter> response) override {
    response->Start(200, {});
    response->Write(std::string(std::stoul(request.path.substr(1)), 'x'));
    open.push_back(std::move(response));
  }

  std::vector<std::shared_ptr<ResponseWriter>> open;
};

/// Pauses its transfer each time it receives a piece.
class PausingHandler : public TransferHandler {
 public:
  explicit PausingHandler(HttpClient& client) : client_(client) {}
  void OnHead(int, const Headers&) override {}
  void OnData(std::string_view data) override {
    received += data.size();
    client_.Pause(id);
  }
  void OnEnd(const TransferEnd&) override { has_ended = true; }

  TransferId id = 0;
  size_t received = 0;
  bool has_ended = false;

 private:
  HttpClient& client_;
};

}  // namespace

// Health checks collected bodies that nobody reads; a body without end filled
// the memory and failed the check of a server whose head was sound.
TEST_CASE("a fetch of the head ends while the body goes on") {
  const HeadRow row =
      GENERATE(from_range(std::begin(kHeadRows), std::end(kHeadRows)));
  INFO(row.name);
  EndlessServer server(row.beginning, row.repeated);
  EventLoop loop;
  HttpClient client(loop);
  FetchResult result;
  client.FetchHead(RequestTo(server.url()),
                   [&](auto fetched) { result.emplace(std::move(fetched)); });
  RunUntil(loop, [&] { return result.has_value(); });
  REQUIRE(result->ok());
  CHECK((*result)->status == row.status);
  CHECK(FindHeader((*result)->headers, "X-A") == "b");
  CHECK((*result)->body.empty());
  // The destructor of the server also waits until the connection is closed.
  CHECK(server.sent() <= kBufferedBytes);
}

TEST_CASE("a fetch of the head reports a head that is not whole") {
  struct Row {
    const char* bytes;
    bool is_answered;
  };
  const auto row =
      GENERATE(Row{"HTTP/1.1 204 No Content\r\n\r\n", true},
               Row{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
               Row{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\ncut", true},
               Row{"HTTP/1.1 200 OK\r\nContent-Le", false}, Row{"", false});
  INFO(row.bytes);
  EventLoop loop;
  OneAnswerServer server(loop, row.bytes);
  HttpClient client(loop);
  FetchResult result;
  client.FetchHead(RequestTo(server.url()),
                   [&](auto fetched) { result.emplace(std::move(fetched)); });
  RunUntil(loop, [&] { return result.has_value(); });
  CHECK(result->ok() == row.is_answered);
}

// Answers that are each within their bound filled the memory together.
TEST_CASE("the largest collected answers give way to the others") {
  constexpr size_t kBudgetBytes = 1 << 20;
  EventLoop loop;
  SizedHandler handler;
  HttpServer server(loop, {}, handler);
  REQUIRE(server.Start().ok());
  MemoryBudget budget(kBudgetBytes, [&loop](std::function<void()> function) {
    loop.Post(std::move(function));
  });
  HttpClient client(loop);
  client.UseBudget(&budget);
  const std::vector<size_t> sizes = {100, 900'000, 50'000, 800'000, 100'000};
  const std::vector<bool> gives_way = {false, true, false, true, false};
  std::vector<FetchResult> results(sizes.size());
  for (size_t i = 0; i < sizes.size(); ++i)
    client.Fetch(RequestTo("http://127.0.0.1:" + std::to_string(server.port()) +
                           "/" + std::to_string(sizes[i])),
                 [&results, i](auto fetched) {
                   results[i].emplace(std::move(fetched));
                 });
  RunUntil(loop, [&] {
    return handler.open.size() == sizes.size() && results[1].has_value() &&
           results[3].has_value();
  });
  CHECK_FALSE(budget.IsExceeded());
  for (const auto& response : handler.open)
    response->Finish();
  RunUntil(loop, [&] {
    return results[0].has_value() && results[2].has_value() &&
           results[4].has_value();
  });
  for (size_t i = 0; i < sizes.size(); ++i) {
    INFO(sizes[i]);
    REQUIRE(results[i]->ok() != gives_way[i]);
    if (!gives_way[i]) {
      CHECK((*results[i])->body.size() == sizes[i]);
      continue;
    }
    CHECK(results[i]->error().code == ResultCode::kProtocolError);
    CHECK(results[i]->error().message ==
          "the response was given up: unfinished messages hold more than "
          "1048576 bytes");
  }
}

// A paused transfer of which libcurl reads on would hold as much as its server
// sends.
TEST_CASE("a paused transfer keeps no more than its connection's buffers") {
  const char* const head =
      GENERATE("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
               "HTTP/1.1 200 OK\r\n\r\n");
  INFO(head);
  constexpr milliseconds kPausedTime{200};
  constexpr int kPauses = 5;
  EndlessServer server(head, "5\r\nmore \r\n");
  EventLoop loop;
  HttpClient client(loop);
  const auto handler = std::make_shared<PausingHandler>(client);
  handler->id = client.Start(RequestTo(server.url()), handler);
  size_t received_before = 0;
  for (int i = 0; i < kPauses; ++i) {
    RunUntil(loop, [&] { return handler->received > received_before; });
    bool is_over = false;
    const auto timer =
        loop.timers().After(kPausedTime, [&](TimePoint) { is_over = true; });
    RunUntil(loop, [&] { return is_over; });
    CHECK(server.sent() <= kBufferedBytes + handler->received);
    // May pass on at once what libcurl has kept.
    received_before = handler->received;
    client.Resume(handler->id);
  }
  CHECK_FALSE(handler->has_ended);
  client.Cancel(handler->id);
}

// A body that is kept for retries was held once more by each transfer.
TEST_CASE("a shared body is sent in place of the request's own") {
  EventLoop loop;
  class EchoHandler : public HttpHandler {
   public:
    void Handle(HttpRequest request,
                std::shared_ptr<ResponseWriter> response) override {
      response->Respond(200, {}, std::move(request.body));
    }
  } handler;
  HttpServer server(loop, {}, handler);
  REQUIRE(server.Start().ok());
  HttpClient client(loop);
  const auto body = std::make_shared<const std::string>(
      std::string(GENERATE(0, 1, 300'000), 'b'));
  ClientRequest request =
      RequestTo("http://127.0.0.1:" + std::to_string(server.port()) + "/");
  request.method = "POST";
  request.body = "own";
  request.shared_body = body;
  FetchResult result;
  client.Fetch(std::move(request),
               [&](auto fetched) { result.emplace(std::move(fetched)); });
  RunUntil(loop, [&] { return result.has_value(); });
  REQUIRE(result->ok());
  CHECK((*result)->body == *body);
  CHECK(body.use_count() == 1);
}

}  // namespace teaselhill::net
