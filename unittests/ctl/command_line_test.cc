/// \file
/// Guards the command line: exit codes that automation relies on, the operator
/// key, and a wait that ends before every host has the change.

#include "teaselhill/ctl/command_line.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <thread>

#include "teaselhill/net/http_server.h"

namespace teaselhill::ctl {

namespace {

/// A host's admin API on its own thread, because the client blocks.
class FakeHost : public net::HttpHandler {
 public:
  FakeHost() : server_(loop_, {}, *this) {
    REQUIRE(server_.Start().ok());
    thread_ = std::thread([this] { loop_.Run(); });
  }
  ~FakeHost() override {
    loop_.Stop();
    thread_.join();
  }

  void Handle(net::HttpRequest request,
              std::shared_ptr<net::ResponseWriter> response) override {
    if (net::FindHeader(request.headers, "Authorization") != "Bearer secret")
      response->Respond(403, {}, "{}");
    else if (request.path == "/admin/v1/status")
      // The offset in force grows with each poll.
      response->Respond(200, {},
                        R"({"host":"h1","domain":"d1","ready":true,
          "incarnation":7,"log_reachable":true,"config_offset":)" +
                            std::to_string(++offset_) +
                            R"(,"upstreams":[{"name":"u1","state":"up",
          "in_flight":2,"pace_ms":20.5,"reason":"pace"}]})");
    else if (request.path == "/admin/v1/requests/4f%201" ||
             request.path == "/admin/v1/requests/4f 1")
      response->Respond(200, {},
                        R"({"decisions":[{"event":"outcome","time_ms":12},
          {"event":"routing","time_ms":11,"upstream":"u1",
           "candidates":[{"upstream":"u2","load":3}]}]})");
    else
      response->Respond(404, {}, "{}");
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(server_.port());
  }

 private:
  net::EventLoop loop_;
  net::HttpServer server_;
  std::thread thread_;
  int offset_ = 0;
};

struct Run {
  explicit Run(std::vector<const char*> arguments) {
    arguments.insert(arguments.begin(), "teaselhillctl");
    code = RunCommandLine(static_cast<int>(arguments.size()), arguments.data(),
                          out, err);
  }

  std::ostringstream out;
  std::ostringstream err;
  int code = 0;
};

}  // namespace

TEST_CASE("exit codes follow the result codes") {
  struct Row {
    std::vector<const char*> arguments;
    int code;
    const char* message;
  };
  const auto row = GENERATE(values<Row>({
      {{"--help"}, 0, ""},
      {{"contract", "frobnicate"}, 7, "unknown command or argument 'frobn"},
      {{"--version"}, 0, ""},
      {{"contract", "list"}, 7, "--log"},
      {{"--log", "http://127.0.0.1:1", "contract", "list"},
       5,
       "LogUnavailable"},
      {{"contract", "check", "/nonexistent"}, 7, "FileUnreadable"},
      {{"status"}, 7, "--host"},
      {{"wait", "--offset", "-3"}, 7, ""},
      {{"--host", "http://127.0.0.1:1", "status"}, 6, "ConnectFailed"},
  }));
  const Run run(row.arguments);
  INFO(run.err.str());
  CHECK(run.code == row.code);
  CHECK_THAT(run.err.str(), Catch::Contains(row.message));
}

TEST_CASE("hosts are asked with the operator key") {
  FakeHost host;
  const std::string url = host.url();
  const Run refused({"--host", url.c_str(), "--operator-key", "x", "status"});
  CHECK(refused.code == 1);
  CHECK_THAT(refused.err.str(), Catch::Contains("NotPermitted"));
  const Run status(
      {"--host", url.c_str(), "--operator-key", "secret", "status"});
  CHECK(status.code == 0);
  CHECK_THAT(status.out.str(), Catch::Contains("h1    d1      ready"));
  CHECK_THAT(status.out.str(), Catch::Contains("20.5"));
  const Run why(
      {"--host", url.c_str(), "--operator-key", "secret", "why", "4f 1"});
  CHECK(why.code == 0);
  CHECK_THAT(why.out.str(),
             Catch::Contains("11  routing  upstream=u1\n    candidate u2  "
                             "load=3\n" +
                             url + "  12  outcome"));
  const Run unknown(
      {"--host", url.c_str(), "--operator-key", "secret", "why", "none"});
  CHECK(unknown.code == 1);
}

TEST_CASE("a wait ends when every host has the change, or names who has not") {
  FakeHost ahead;
  const std::string first = ahead.url();
  const Run reached({"--host", first.c_str(), "--operator-key", "secret",
                     "wait", "--offset", "3", "--timeout", "5s"});
  CHECK(reached.code == 0);
  const Run missing({"--host", first.c_str(), "--host", "http://127.0.0.1:1",
                     "--operator-key", "secret", "wait", "--offset", "1",
                     "--timeout", "250ms"});
  CHECK(missing.code == 7);
  CHECK_THAT(missing.err.str(), Catch::Contains("http://127.0.0.1:1 ("));
}

TEST_CASE("a host that cannot be asked is not passed over in silence") {
  FakeHost host;
  const std::string url = host.url() + "/";
  const char* down = "http://127.0.0.1:1";
  const Run why({"--host", url.c_str(), "--host", down, "--operator-key",
                 "secret", "why", "4f 1"});
  CHECK(why.code == 0);
  CHECK_THAT(why.out.str(),
             Catch::Contains("incomplete: http://127.0.0.1:1: "));
  const Run status({"--host", url.c_str(), "--host", down, "--operator-key",
                    "secret", "status"});
  CHECK(status.code == 6);
  CHECK_THAT(status.out.str(), Catch::Contains("unreachable"));
  CHECK_THAT(status.err.str(), Catch::Contains(down));
}

TEST_CASE("a refused operator key is told as such, and a wait ends at once") {
  FakeHost host;
  const std::string url = host.url();
  const Run status({"--host", url.c_str(), "--operator-key", "x", "status"});
  CHECK_THAT(status.out.str(), Catch::Contains("key refused"));
  const Run wait({"--host", url.c_str(), "--operator-key", "x", "wait",
                  "--offset", "1", "--timeout", "1m"});
  CHECK(wait.code == 1);
  CHECK_THAT(wait.err.str(), Catch::Contains("operator key"));
}

}  // namespace teaselhill::ctl
