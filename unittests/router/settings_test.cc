/// \file
/// Tests the validation of settings: all errors are reported, none is ignored.

#include "teaselhill/router/settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <regex>
#include <sstream>

#include "../net/test_certificates.h"

namespace teaselhill::router {

namespace {

std::vector<std::string> Required() {
  return {"--host",        "h1",
          "--domain",      "d1",
          "--address",     "127.0.1.1",
          "--log-url",     "http://127.0.0.1:1",
          "--peer-secret", "0123456789abcdef"};
}

}  // namespace

TEST_CASE("flag overrides its environment variable") {
  const ParsedSettings parsed = ParseSettings(
      Required(), {"TEASELHILL_DOMAIN=other", "TEASELHILL_HTTP_PORT=99"});
  REQUIRE(std::holds_alternative<Settings>(parsed));
  CHECK(std::get<Settings>(parsed).domain == "d1");
  CHECK(std::get<Settings>(parsed).http_port == 99);
}

TEST_CASE("all errors are reported with name, value and allowed values") {
  const ParsedSettings parsed = ParseSettings(
      {"--host", "two words", "--http-port", "70000", "--routing-policy", "x"},
      {"TEASELHILL_NO_SUCH=1", "TEASELHILL_REPORT_PERIOD=5",
       "TEASELHILL_PEER_SECRET=short-secret"});
  REQUIRE(std::holds_alternative<PrintAndExit>(parsed));
  const PrintAndExit& print = std::get<PrintAndExit>(parsed);
  CHECK(print.exit_code == 7);
  const std::string expected = GENERATE(
      as<std::string>(), "--host: 'two words' is not valid",
      "--http-port: '70000' is not valid, allowed: a port from 0 to 65535",
      "--routing-policy: 'x' is not valid, allowed: one of adaptive",
      "TEASELHILL_NO_SUCH: no such setting",
      "TEASELHILL_REPORT_PERIOD: '5' is not valid",
      "TEASELHILL_PEER_SECRET: '***' is not valid", "--log-url: missing",
      "--domain: missing");
  INFO(print.text);
  CHECK(print.text.find(expected) != std::string::npos);
  CHECK(print.text.find("short-secret") == std::string::npos);
}

TEST_CASE("--check-settings validates the settings without running") {
  std::vector<std::string> arguments = Required();
  arguments.push_back("--check-settings");
  const ParsedSettings parsed = ParseSettings(arguments, {});
  REQUIRE(std::holds_alternative<PrintAndExit>(parsed));
  CHECK(std::get<PrintAndExit>(parsed).exit_code == 0);
}

// Guards against a daemon that starts with unusable files and then refuses
// every connection.
TEST_CASE("unusable TLS files are rejected at start") {
  // Static, because Catch2 evaluates the table of the first run only.
  static net::TestAuthority authority;
  static const net::TlsFiles a = authority.Issue("a");
  static const net::TlsFiles b = authority.Issue("b");
  using Variables = std::vector<std::string>;
  const std::string certificate = "TEASELHILL_TLS_CERTIFICATE=";
  const std::string key = "TEASELHILL_TLS_KEY=";
  const std::string ca = "TEASELHILL_TLS_CA=";
  const auto [variables, fault] = GENERATE_COPY(table<Variables, std::string>(
      {{{certificate + a.certificate, key + a.key, ca + a.ca}, ""},
       {{ca + a.ca}, ""},
       {{certificate + a.certificate, key + a.key}, "go together"},
       {{key + a.key, ca + a.ca}, "go together"},
       {{certificate + a.certificate, key + b.key, ca + a.ca}, "not the key"},
       {{certificate + "/no/such", key + a.key, ca + a.ca}, "cannot be read"},
       {{ca + a.key}, "holds no certificate"}}));
  const ParsedSettings parsed = ParseSettings(Required(), variables);
  const PrintAndExit* print = std::get_if<PrintAndExit>(&parsed);
  CHECK((print == nullptr) == fault.empty());
  if (print)
    CHECK(print->text.find(fault) != std::string::npos);
}

TEST_CASE("operators' page lists every setting with its default") {
  const ParsedSettings parsed = ParseSettings({"--help"}, {});
  const std::string help = std::get<PrintAndExit>(parsed).text;
  std::ifstream file(std::string(TEASELHILL_SOURCE_DIR) +
                     "/docs/operators/install-and-start.md");
  std::ostringstream page;
  page << file.rdbuf();
  const std::regex setting(
      R"((--[a-z-]+) TEXT +.*(required|default: [^)]*)\) \[(TEASELHILL_\w+)\])");
  int settings = 0;
  for (std::sregex_iterator found(help.begin(), help.end(), setting), end;
       found != end; ++found, ++settings) {
    const std::string fallback =
        std::regex_replace((*found)[2].str(), std::regex("default: "), "");
    INFO((*found)[1].str());
    CHECK_THAT(page.str(),
               Catch::Contains("| `" + (*found)[1].str() + "` | `" +
                               (*found)[3].str() + "` | " + fallback + " |"));
  }
  CHECK(settings >= 25);
}

}  // namespace teaselhill::router
