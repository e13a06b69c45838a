/// \file
/// Acquires the order lease and sends orders to engines.

#include "teaselhill/router/orders_driver.h"

#include <nlohmann/json.hpp>

namespace teaselhill::router {

namespace {

using nlohmann::json;

constexpr char kOrdersStream[] = "orders";
constexpr std::chrono::milliseconds kTickPeriod{500};
constexpr std::chrono::milliseconds kStateTimeout{2000};
constexpr std::chrono::milliseconds kOrderTimeout{5000};
/// Maximum size of an engine's state: some hundred models with their adapters.
constexpr size_t kMaxStateBytes = 256 << 10;

services::LogTailOptions TailOptions() {
  services::LogTailOptions options;
  options.stream = kOrdersStream;
  return options;
}

std::string EncodeOrder(const orders::Order& order, LogOffset fencing) {
  const json body = {
      {"fencing", fencing},
      {"kind", order.kind == orders::OrderKind::kLoadModel ? "load_model"
                                                           : "unload_model"},
      {"model", order.model}};
  return body.dump();
}

}  // namespace

Result<orders::EngineState> ParseEngineState(const std::string& name,
                                             const std::string& body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("models") ||
      !parsed["models"].is_array())
    return {ResultCode::kProtocolError,
            "engine state of '" + name + "': models must be an array"};
  orders::EngineState state;
  state.name = name;
  for (const json& model : parsed["models"]) {
    const bool named = model.is_object() && model.contains("name") &&
                       model["name"].is_string();
    if (!named && !model.is_string())
      return {ResultCode::kProtocolError,
              "engine state of '" + name + "': a model has no name"};
    const bool ready =
        !named || !model.contains("state") || model["state"] == "ready";
    state.loading = state.loading || !ready;
    if (ready)
      state.models.push_back(named ? model["name"].get<std::string>()
                                   : model.get<std::string>());
  }
  const auto loading = parsed.find("loading");
  if (loading != parsed.end())
    state.loading |=
        loading->is_boolean() ? loading->get<bool>() : !loading->empty();
  return state;
}

OrdersDriver::OrdersDriver(OrdersContext context)
    : context_(std::move(context)),
      lease_(context_.self, context_.domain, {}),
      planner_({}),
      tail_(*context_.log,
            *context_.timers,
            *context_.rng,
            TailOptions(),
            *this) {}

OrdersDriver::~OrdersDriver() = default;

void OrdersDriver::Start() {
  // No record has offset 0; a tail that starts there never catches up.
  tail_.Start(kFirstOffset);
  timer_ = context_.timers->Subscribe(kTickPeriod,
                                      [this](TimePoint now) { Tick(now); });
}

void OrdersDriver::ApplyConfig(std::shared_ptr<const config::ConfigView> view) {
  view_ = std::move(view);
  std::map<std::string, Engine> next;
  const auto domain = view_->assignments_by_domain.find(context_.domain);
  if (domain != view_->assignments_by_domain.end()) {
    for (const auto& assignment : domain->second) {
      if (assignment->kind != config::UpstreamKind::kEngine)
        continue;
      Engine& engine = next[assignment->name];
      const auto previous = engines_.find(assignment->name);
      if (previous != engines_.end() && previous->second.url == assignment->url)
        engine = previous->second;
      engine.url = assignment->url;
    }
  }
  engines_ = std::move(next);
}

void OrdersDriver::OnRecords(const std::vector<services::LogRecord>& records) {
  const TimePoint now = context_.timers->Now();
  for (const services::LogRecord& record : records) {
    const Result<orders::LeaseRecord> lease = orders::DecodeLease(record.data);
    if (lease)
      lease_.OnRecord(record.offset, *lease, now);
  }
}

void OrdersDriver::OnGap(LogOffset) {
  lease_.OnGap(context_.timers->Now());
  context_.log->ReadBounds(kOrdersStream,
                           [this, alive = std::weak_ptr<int>(alive_)](
                               Result<services::LogPage> page) {
                             if (!alive.expired() && page)
                               tail_.Seek(page->first_retained);
                           });
}

void OrdersDriver::OnLogRestartedWithFewerRecords(LogOffset,
                                                  LogOffset log_next) {
  lease_.OnGap(context_.timers->Now());
  tail_.Seek(log_next);
}

void OrdersDriver::Tick(TimePoint now) {
  if (tail_.lag().reachable && tail_.lag().behind == 0)
    lease_.OnCaughtUp(now);
  RenewLease(now);
  const bool holds = lease_.IsHeldAt(now);
  if (holds != held_lease_) {
    context_.logger->Write(LogLine(LogLevel::kInfo, "order_lease")
                               .Field("domain", context_.domain)
                               .Field("held", holds));
    planner_.DiscardMoves();
    held_lease_ = holds;
  }
  if (!holds) {
    SetDrainedUpstreams({}, now);
    return;
  }
  ReadEngineStates();
  PlanOrders(now);
}

void OrdersDriver::RenewLease(TimePoint now) {
  const std::optional<orders::LeaseRecord> record =
      lease_.NextRecordToAppend(renew_lease_, now);
  if (!record)
    return;
  context_.log->Append(
      kOrdersStream, {orders::EncodeLease(*record)},
      [this, alive = std::weak_ptr<int>(alive_)](const Result<LogOffset>&) {
        // Whether this host holds the lease is decided by the order of records
        // on the log, so the result of the append is ignored and the log is
        // read instead.
        if (!alive.expired())
          tail_.ReadNow();
      });
}

void OrdersDriver::ReadEngineStates() {
  for (auto& [name, engine] : engines_) {
    if (engine.state_read_pending)
      continue;
    engine.state_read_pending = true;
    net::ClientRequest request;
    request.purpose = "orders";
    request.url = engine.url + "/v1/state";
    request.source_address = context_.source_address;
    request.connect_timeout = kStateTimeout;
    request.total_timeout = kStateTimeout;
    context_.client->Fetch(
        request,
        [this, name = name, requested_at = context_.timers->Now(),
         alive = std::weak_ptr<int>(alive_)](
            const Result<net::ClientResponse>& response) {
          if (!alive.expired())
            OnEngineState(name, requested_at, response);
        },
        kMaxStateBytes);
  }
}

void OrdersDriver::OnEngineState(const std::string& name,
                                 TimePoint requested_at,
                                 const Result<net::ClientResponse>& response) {
  const auto found = engines_.find(name);
  if (found == engines_.end())
    return;
  Engine& engine = found->second;
  engine.state_read_pending = false;
  if (!response || response->status != 200) {
    engine.state.reachable = false;
    return;
  }
  Result<orders::EngineState> state = ParseEngineState(name, response->body);
  if (!state)
    return;
  engine.state = std::move(*state);
  engine.state.state_read_at = requested_at;
}

void OrdersDriver::PlanOrders(TimePoint now) {
  if (!view_)
    return;
  orders::PlannerInput input;
  for (auto& [name, engine] : engines_) {
    if (engine.state.state_read_at == TimePoint{})
      continue;
    orders::EngineState state = engine.state;
    if (const routing::Upstream* upstream = context_.upstreams->Find(name)) {
      state.running_requests =
          context_.upstreams->CorrectedLoad(*upstream, now);
      state.tokens_per_second = upstream->report.tokens_per_second;
    }
    input.engines.push_back(std::move(state));
  }
  const auto domain = view_->assignments_by_domain.find(context_.domain);
  if (domain != view_->assignments_by_domain.end()) {
    for (const auto& assignment : domain->second) {
      if (assignment->kind == config::UpstreamKind::kEngine)
        input.assignments.push_back(*assignment);
    }
  }
  input.demand = context_.demand_tokens_per_second();
  const orders::AssignmentPlan plan = planner_.MakePlan(input, now);
  SetDrainedUpstreams(plan.engines_to_drain, now);
  for (const orders::Order& order : plan.orders)
    SendOrder(order);
}

void OrdersDriver::SetDrainedUpstreams(
    const std::vector<std::string>& upstreams,
    TimePoint now) {
  const std::set<std::string> next(upstreams.begin(), upstreams.end());
  for (const std::string& name : drained_upstreams_) {
    if (next.count(name) == 0)
      context_.upstreams->ClearLeaving(name, routing::LeavingSource::kOperator,
                                       now);
  }
  for (const std::string& name : next)
    context_.upstreams->MarkLeaving(name, routing::LeavingSource::kOperator,
                                    now);
  drained_upstreams_ = next;
}

void OrdersDriver::SendOrder(const orders::Order& order) {
  const auto found = engines_.find(order.engine);
  if (found == engines_.end())
    return;
  // Reads the clock again, because this thread may have been paused since the
  // plan was made.
  const TimePoint now = SteadyNow();
  const Result<LogOffset> fencing = lease_.FencingNumber(now);
  LogLine line(LogLevel::kInfo, "order");
  line.Field("engine", order.engine)
      .Field("model", order.model)
      .Field("kind", order.kind == orders::OrderKind::kLoadModel
                         ? "load_model"
                         : "unload_model");
  if (!fencing) {
    context_.logger->Write(line.Field("refused", fencing.error().message));
    return;
  }
  context_.logger->Write(line.Field("fencing", *fencing));
  planner_.OnOrderSent(order, now);
  net::ClientRequest request;
  request.purpose = "orders";
  request.method = "POST";
  request.url = found->second.url + "/v1/orders";
  request.headers = {{"Content-Type", "application/json"}};
  request.body = EncodeOrder(order, *fencing);
  request.source_address = context_.source_address;
  request.total_timeout = kOrderTimeout;
  request.fresh_connection = true;
  context_.client->Fetch(
      request,
      [this, engine = order.engine, alive = std::weak_ptr<int>(alive_)](
          const Result<net::ClientResponse>& response) {
        if (alive.expired())
          return;
        LogLine answer(LogLevel::kInfo, "order_answer");
        answer.Field("engine", engine);
        if (response)
          answer.Field("status", response->status);
        else
          answer.Field("fault", response.error().message);
        context_.logger->Write(answer);
      });
}

}  // namespace teaselhill::router
