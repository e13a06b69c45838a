/// \file
/// Guards against sound requests that are taken for one that crashes upstreams.

#include "teaselhill/gateway/request_keys.h"

#include <catch2/catch.hpp>

namespace teaselhill::gateway {

namespace {

CallerRequest MakeCaller(std::vector<uint64_t> segment_ids) {
  CallerRequest caller;
  for (const uint64_t id : segment_ids)
    caller.prompt_segments.push_back({id, 40});
  return caller;
}

}  // namespace

// Three crashes under a shared part looked like one request's where the body is
// empty.
TEST_CASE("requests count as the same only if nothing tells them apart") {
  struct Row {
    const char* name;
    std::string body;
    std::vector<uint64_t> first;  ///< prompt segments; the last is its own
    std::vector<uint64_t> second;
    bool same;
  };
  const Row row = GENERATE(values<Row>({
      {"a body", "x", {1, 2}, {1, 3}, true},
      {"no body, the same prompt", "", {1, 2}, {1, 2}, true},
      {"no body, a part in common", "", {1, 2}, {1, 3}, false},
      {"no body and no prompt", "", {}, {}, true},
  }));
  INFO(row.name);
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/draft/x";
  request.body = row.body;
  const Hash128 first =
      RequestFingerprint(request, MakeCaller(row.first), "team");
  CHECK((first == RequestFingerprint(request, MakeCaller(row.second),
                                     "team")) == row.same);
  CHECK_FALSE(first ==
              RequestFingerprint(request, MakeCaller(row.first), "other"));
}

}  // namespace teaselhill::gateway
