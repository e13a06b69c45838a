/// \file
/// Guards against answers that are taken for whole though their head stopped in
/// the middle.

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

struct Row {
  const char* name;
  const char* head;
};

const Row kRows[] = {
    {"without a frame", "HTTP/1.1 200 OK\r\nX-More: value\r\n\r\n"},
    {"with a length",
     "HTTP/1.1 200 OK\r\nX-More: value\r\nContent-Length: 20\r\n\r\n"},
    {"with an empty body",
     "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-More: value\r\n\r\n"},
    {"in chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-More: v\r\n\r\n"},
    {"events",
     "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-More: v\r\n\r\n"},
    {"that closes the connection",
     "HTTP/1.1 200 OK\r\nConnection: close\r\nX-More: value\r\n\r\n"},
    {"without a body", "HTTP/1.1 204 None\r\nX-More: value\r\n\r\n"},
    {"of a failure", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\n\r\n"},
    {"after an interim answer",
     "HTTP/1.1 103 Hints\r\nX: 1\r\n\r\nHTTP/1.1 200 OK\r\nX-More: v\r\n\r\n"},
};

/// Calls `check` with a client and a request whose answer is the row's head up
/// to one of its bytes, for each byte.
template <typename Check>
void ForEachCut(const Row& row, Check check) {
  const std::string head = row.head;
  for (size_t size = 0; size < head.size(); ++size) {
    INFO(row.name << ": " << head.substr(0, size));
    EventLoop loop;
    HttpClient client(loop);
    const OneAnswerServer server(loop, head.substr(0, size));
    ClientRequest request;
    request.url = server.url();
    check(loop, client, std::move(request));
  }
}

}  // namespace

TEST_CASE("an answer whose head stops at any byte is lost") {
  const Row row = GENERATE(from_range(std::begin(kRows), std::end(kRows)));
  ForEachCut(row,
             [](EventLoop& loop, HttpClient& client, ClientRequest request) {
               const auto handler = std::make_shared<RecordingHandler>();
               client.Start(std::move(request), handler);
               RunUntil(loop, [&] { return handler->end().has_value(); });
               CHECK_FALSE(handler->has_head());
               CHECK(handler->body().empty());
               CHECK(handler->end()->code == ResultCode::kConnectionLost);
               CHECK(handler->end()->status == 0);
               CHECK(handler->end()->may_have_been_sent);
             });
}

TEST_CASE("a fetch fails if the head of its answer stops at any byte") {
  const Row row = GENERATE(from_range(std::begin(kRows), std::end(kRows)));
  ForEachCut(
      row, [](EventLoop& loop, HttpClient& client, ClientRequest request) {
        std::optional<Result<ClientResponse>> fetched;
        client.Fetch(std::move(request), [&](Result<ClientResponse> result) {
          fetched.emplace(std::move(result));
        });
        RunUntil(loop, [&] { return fetched.has_value(); });
        CHECK_FALSE(fetched->ok());
      });
}

}  // namespace teaselhill::net
