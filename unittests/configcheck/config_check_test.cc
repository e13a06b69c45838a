/// \file
/// Guards against a configuration that is sent although the gateway cannot do
/// what it says, and against a check that discloses an API key.

#include "teaselhill/configcheck/config_check.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "teaselhill/configcheck/findings_output.h"

namespace teaselhill::configcheck {

namespace {

using gateway::Route;
using gateway::RouteConfig;
using gateway::RouteKind;
using std::chrono::milliseconds;

constexpr const char* kKey = "wa5xwyhks8nbkxxmibw6";
constexpr const char* kOtherKey = "kpqk8bdk9eevyxq2yyaz";

using Edit = void (*)(RouteConfig&);

Route MakeRoute(const std::string& name, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = "h.example";
  route.path_prefix = prefix;
  route.kind = RouteKind::kStream;
  route.timeout = milliseconds(5000);
  route.answer_target = milliseconds(600);
  route.event_gap_target = milliseconds(400);
  route.services = {{"s", 1}};
  return route;
}

gateway::Service MakeService(const std::string& name) {
  gateway::Service service;
  service.name = name;
  return service;
}

RouteConfig MakeConfig() {
  RouteConfig config;
  config.version = 7;
  config.routes = {MakeRoute("a", "/a/"), MakeRoute("b", "/b/")};
  config.services = {MakeService("s")};
  config.services[0].pool.emplace();
  config.services[0].pool->min_servers = 1;
  config.services[0].pool->max_servers = 4;
  config.teams = {{"crew", {kKey}, 1}, {"office", {kOtherKey}, std::nullopt}};
  config.requires_key = true;
  return config;
}

RouteConfig Edited(Edit edit) {
  RouteConfig config = MakeConfig();
  edit(config);
  return config;
}

/// Each finding as one line of text, without the verdict.
std::vector<std::string> Lines(const std::vector<Finding>& findings) {
  std::vector<std::string> lines;
  for (const Finding& finding : findings) {
    const std::string text = FormatText({finding});
    lines.push_back(text.substr(0, text.find('\n')));
  }
  return lines;
}

struct FaultRow {
  const char* guards_against;
  Edit edit;
  std::vector<std::string> lines;
};

}  // namespace

TEST_CASE("a valid configuration has no findings") {
  CHECK(Lines(CheckConfig(MakeConfig())).empty());
}

TEST_CASE("an entry that can never be used is named") {
  const FaultRow row = GENERATE(values<FaultRow>({
      {"a route behind an equal prefix, its host in other case",
       [](RouteConfig& c) {
         c.routes[1].host = "H.Example:80";
         c.routes[1].path_prefix = "/a/";
       },
       {"error: route 'b': never matches: route 'a' has the same host and path "
        "prefix '/a/'"}},
      {"a longer prefix that is taken for an equal one",
       [](RouteConfig& c) { c.routes[1].path_prefix = "/a/b/"; },
       {}},
      {"an equal prefix of another host that is taken for the same route",
       [](RouteConfig& c) {
         c.routes[1].path_prefix = "/a/";
         c.routes[1].host = "i.example";
       },
       {}},
      {"a prefix without its last slash",
       [](RouteConfig& c) { c.routes[1].path_prefix = "/b"; },
       {"error: route 'b': path prefix '/b' does not begin and end with a "
        "slash, so no path matches"}},
      {"a prefix without its last slash that is also said to be another's",
       [](RouteConfig& c) {
         c.routes[0].path_prefix = "/";
         c.routes[1].path_prefix = "/b";
       },
       {"error: route 'b': path prefix '/b' does not begin and end with a "
        "slash, so no path matches"}},
      {"a prefix without its first slash",
       [](RouteConfig& c) { c.routes[1].path_prefix = "b/"; },
       {"error: route 'b': path prefix 'b/' does not begin and end with a "
        "slash, so no path matches"}},
      {"an empty prefix that is read out of bounds",
       [](RouteConfig& c) { c.routes[1].path_prefix = ""; },
       {"error: route 'b': path prefix '' does not begin and end with a "
        "slash, so no path matches"}},
      {"a prefix with a query",
       [](RouteConfig& c) { c.routes[1].path_prefix = "/b?c=/"; },
       {"error: route 'b': path prefix '/b?c=/' holds '?' or '#', so no path "
        "matches"}},
      {"a route without a host",
       [](RouteConfig& c) { c.routes[1].host = ""; },
       {"error: route 'b': the host is empty"}},
      {"a route to a service that does not exist",
       [](RouteConfig& c) {
         c.routes[1].services = {{"s", 9}, {"t", 1}};
       },
       {"error: route 'b': service 't' does not exist"}},
      {"a route without a service",
       [](RouteConfig& c) { c.routes[1].services = {}; },
       {"error: route 'b': has no service"}},
      {"weights that pick no service",
       [](RouteConfig& c) {
         c.routes[1].services = {{"s", 0}};
       },
       {"warning: route 'b': service 's' has the weight 0 and gets no request",
        "error: route 'b': no service has a weight above 0"}},
      {"a negative weight",
       [](RouteConfig& c) {
         c.routes[1].services = {{"s", 2}, {"s", -1}};
       },
       {"error: route 'b': the weight of service 's' is negative",
        "warning: route 'b': service 's' is named twice"}},
      {"a service that is left over",
       [](RouteConfig& c) { c.services.push_back(MakeService("t")); },
       {"warning: service 't': no route uses the service"}},
      {"two services of one name, of which the second is ignored",
       [](RouteConfig& c) { c.services.push_back(MakeService("s")); },
       {"error: service 's': the name is used 2 times"}},
      {"two routes of one name that logs cannot tell apart",
       [](RouteConfig& c) { c.routes[1].name = "a"; },
       {"warning: route 'a': the name is used 2 times"}},
  }));
  CAPTURE(row.guards_against);
  CHECK(Lines(CheckConfig(Edited(row.edit))) == row.lines);
}

TEST_CASE("limits that contradict each other are named") {
  const FaultRow row = GENERATE(values<FaultRow>({
      {"a route that may send nothing",
       [](RouteConfig& c) { c.routes[0].max_attempts = 0; },
       {"error: route 'a': attempts is 0, so no request may be sent"}},
      {"a timeout that ends every request at once",
       [](RouteConfig& c) { c.routes[0].timeout = {}; },
       {"error: route 'a': the timeout of 0 ms is not positive"}},
      {"an answer target that is reached after the timeout",
       [](RouteConfig& c) { c.routes[0].answer_target = milliseconds(5001); },
       {"error: route 'a': the answer target of 5001 ms is above the timeout "
        "of 5000 ms"}},
      {"a target equal to the timeout that is taken for a fault",
       [](RouteConfig& c) { c.routes[0].answer_target = milliseconds(5000); },
       {}},
      {"a pause target above the timeout",
       [](RouteConfig& c) {
         c.routes[0].event_gap_target = milliseconds(6000);
       },
       {"error: route 'a': the pause target of 6000 ms is above the timeout of "
        "5000 ms"}},
      {"a negative target",
       [](RouteConfig& c) { c.routes[0].answer_target = milliseconds(-1); },
       {"error: route 'a': the answer target of -1 ms is negative"}},
      {"fields of streams on another kind of route",
       [](RouteConfig& c) {
         c.routes[0].kind = RouteKind::kNonIdempotent;
         c.routes[0].resumable = true;
       },
       {"warning: route 'a': is resumable but no stream, which has no effect",
        "warning: route 'a': has a pause target but is no stream"}},
      {"a tier that is clamped without notice",
       [](RouteConfig& c) { c.routes[0].tier = 5; },
       {"warning: route 'a': tier 5 counts as 2"}},
      {"a pool with min above max",
       [](RouteConfig& c) { c.services[0].pool->min_servers = 5; },
       {"error: service 's': min of 5 servers is above max of 4"}},
      {"a part that the decoder leaves out with a note only",
       [](RouteConfig& c) {
         c.warnings = {"scale of service s: min and max are out of range"};
       },
       {"error: scale of service s: min and max are out of range"}},
      {"a negative version that the decoder converts to a huge one",
       [](RouteConfig& c) { c.version = static_cast<uint64_t>(-1); },
       {"error: version: the version is negative"}},
  }));
  CAPTURE(row.guards_against);
  CHECK(Lines(CheckConfig(Edited(row.edit))) == row.lines);
}

TEST_CASE("faults of teams and keys are named") {
  const FaultRow row = GENERATE(values<FaultRow>({
      {"a key whose second team is never identified",
       [](RouteConfig& c) {
         c.teams[1].keys = {kOtherKey, kKey};
       },
       {"error: team 'office': API key 'wa5x...' belongs to team 'crew' "
        "already"}},
      {"a key that is listed twice in one team",
       [](RouteConfig& c) {
         c.teams[0].keys = {kKey, kKey};
       },
       {"warning: team 'crew': API key 'wa5x...' is listed twice"}},
      {"a short key that is disclosed by its first characters",
       [](RouteConfig& c) {
         c.teams[0].keys = {"abc", "abc"};
       },
       {"warning: team 'crew': API key '...' is listed twice"}},
      {"an empty key that any caller can name",
       [](RouteConfig& c) { c.teams[0].keys = {""}; },
       {"error: team 'crew': an API key is empty"}},
      {"a team that can send nothing",
       [](RouteConfig& c) { c.teams[0].keys = {}; },
       {"warning: team 'crew': has no API key, and requests need one"}},
      {"a configuration that refuses every request",
       [](RouteConfig& c) { c.teams.clear(); },
       {"error: teams: requests need an API key and no team has one"}},
      {"routes that need no key",
       [](RouteConfig& c) {
         c.teams.clear();
         for (Route& route : c.routes)
           route.anonymous = true;
       },
       {}},
  }));
  CAPTURE(row.guards_against);
  CHECK(Lines(CheckConfig(Edited(row.edit))) == row.lines);
}

// A check that stops at the first fault.
TEST_CASE("all faults are named at once") {
  const std::vector<Finding> findings = CheckConfig(Edited([](RouteConfig& c) {
    c.routes[0].max_attempts = 0;
    c.routes[0].answer_target = milliseconds(9000);
    c.routes[1].services = {{"t", 1}};
    c.services[0].pool->min_servers = 5;
    c.teams[1].keys = {kKey};
  }));
  CHECK(findings.size() == 5);
  CHECK_FALSE(IsValid(findings));
}

TEST_CASE("differences from the version in force are named") {
  const FaultRow row = GENERATE(values<FaultRow>({
      {"a difference where there is none", [](RouteConfig& c) {}, {}},
      {"a version that hosts ignore",
       [](RouteConfig& c) { c.version = 7; },
       {"error: version: version 7 is not above version 7 in force, so hosts "
        "ignore it"}},
      {"a route that goes or comes unnoticed",
       [](RouteConfig& c) { c.routes[1].name = "c"; },
       {"info: route 'b': is removed", "info: route 'c': is added"}},
      {"the second route of a name that goes unnoticed",
       [](RouteConfig& c) { c.routes.push_back(c.routes[0]); },
       {"info: route 'a': is added"}},
      {"entries in another order that count as changed",
       [](RouteConfig& c) { std::swap(c.routes[0], c.routes[1]); },
       {}},
      {"a change that is lost in rounding",
       [](RouteConfig& c) {
         c.routes[0].services = {{"s", 1.00000001}};
       },
       {"info: route 'a': choice of services changes from 's' of weight 1 to "
        "'s' of weight 1.00000001"}},
      {"a limit that changes unnoticed",
       [](RouteConfig& c) {
         c.routes[0].timeout = milliseconds(4000);
         c.routes[0].services = {{"s", 3}};
       },
       {"info: route 'a': timeout changes from 5000 ms to 4000 ms",
        "info: route 'a': choice of services changes from 's' of weight 1 to "
        "'s' of "
        "weight 3"}},
      {"a service whose bounds change unnoticed",
       [](RouteConfig& c) { c.services[0].pool.reset(); },
       {"info: service 's': scale changes from 1 to 4 servers, ready in 0 ms, "
        "reclaimable at 1 to none"}},
      {"a key that is taken away unnoticed, or disclosed",
       [](RouteConfig& c) { c.teams[0].keys = {"qqqqyhks8nbkxxmibw6"}; },
       {"info: team 'crew': API key 'wa5x...' is removed",
        "info: team 'crew': API key 'qqqq...' is added"}},
      {"a team that changes its tier or goes",
       [](RouteConfig& c) {
         c.teams.pop_back();
         c.teams[0].tier.reset();
       },
       {"info: team 'crew': tier changes from 1 to none",
        "info: team 'office': is removed"}},
      {"requests that need no key any more",
       [](RouteConfig& c) { c.requires_key = false; },
       {"info: teams: requests need an API key changes from true to false"}},
  }));
  CAPTURE(row.guards_against);
  RouteConfig next = MakeConfig();
  next.version = 8;
  row.edit(next);
  CHECK(Lines(CompareConfigs(MakeConfig(), next)) == row.lines);
}

// A name that forges a finding, or bytes that end the output.
TEST_CASE("a name cannot add a line to the output") {
  const std::vector<Finding> findings = {
      {Severity::kWarning, "route 'a\nerror: \x1b[2J\xff'", "m"}};
  const std::string text = FormatText(findings);
  CHECK(std::count(text.begin(), text.end(), '\n') == 2);
  CHECK(text.find('\x1b') == std::string::npos);
  CHECK(FormatJson(findings) ==
        R"({"errors":0,"findings":[{"message":"m","place":)"
        "\"route 'a\\nerror: \\u001b[2J\xef\xbf\xbd'\","
        R"("severity":"warning"}],"valid":true,"warnings":1})"
        "\n");
}

}  // namespace teaselhill::configcheck
