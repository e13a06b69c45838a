/// \file
/// Streams go on only at the software version that began them.

#include <algorithm>
#include <utility>

#include "exchange.h"

namespace teaselhill::gateway {

namespace {

/// Time after the end of a stream in which its caller may still resume it,
/// also once more if the resumed stream breaks.
constexpr std::chrono::minutes kResumePeriod{1};

/// Time for which a first event waits until the stream log keeps its stream.
/// The record is on its way since the attempt was sent.
constexpr std::chrono::milliseconds kMaxLogDelay{100};

/// The same if the log may hold another version for the stream, from an attempt
/// that brought no event: a caller must not get an event before that is
/// replaced.
constexpr std::chrono::seconds kMaxLogReplaceDelay{2};

}  // namespace

bool Exchange::ResumesStream() const {
  return request_.caller.resume_after.has_value() ||
         !request_.caller.resumed_attempt_id.empty();
}

bool Exchange::NeedsStreamVersion() const {
  return ResumesStream() && !request_.placement_request.required_version;
}

const std::string& Exchange::StreamId() const {
  return request_.caller.resumed_attempt_id.empty()
             ? request_.caller.attempt_id
             : request_.caller.resumed_attempt_id;
}

StreamRecord Exchange::MakeStreamRecord(TimePoint now) const {
  return {StreamId(),
          {attempt_.upstream.service, attempt_.upstream.version},
          std::max<Duration>(state_.deadline - now, Duration::zero()) +
              kResumePeriod};
}

void Exchange::FindStreamVersion(std::function<void()> resume) {
  const TimePoint now = BootNow();
  StreamQuery query;
  query.attempt_id = request_.caller.resumed_attempt_id;
  query.service = request_.service;
  const bool recorded =
      gateway_.stream_versions_.Find(query.attempt_id, now).has_value();
  if (recorded || !gateway_.stream_peers_)
    return ResumeAt(query, {}, resume);
  gateway_.stream_peers_->Ask(
      query, [weak = weak_from_this(), query,
              resume = std::move(resume)](const StreamEvidence& evidence) {
        const auto self = weak.lock();
        if (self && !self->finished_)
          self->ResumeAt(query, evidence, resume);
      });
}

void Exchange::ResumeAt(const StreamQuery& query,
                        const StreamEvidence& evidence,
                        const std::function<void()>& resume) {
  const TimePoint now = BootNow();
  // The evidence includes a read of the upstreams.
  gateway_.FollowUpstreams(now);
  StreamAnswer own = gateway_.stream_versions_.Answer(query, now);
  // Without a record it is not known in which of several services it began.
  if (own.kind == StreamAnswer::Kind::kOnlyVersion &&
      request_.route->services.size() > 1)
    own = {};
  const std::optional<StreamOrigin> origin = DecideStreamOrigin(own, evidence);
  // All hosts that knew the stream may have been lost.
  const bool may_be_in_log = own.kind == StreamAnswer::Kind::kSeveralVersions ||
                             own.kind == StreamAnswer::Kind::kPastUnknown;
  if (!origin && may_be_in_log && !stream_log_read_ && gateway_.stream_peers_ &&
      !query.attempt_id.empty()) {
    stream_log_read_ = true;
    return gateway_.stream_peers_->ReadLog(
        [weak = weak_from_this(), query, evidence, resume] {
          const auto self = weak.lock();
          if (self && !self->finished_)
            self->ResumeAt(query, evidence, resume);
        });
  }
  const bool recorded = own.kind == StreamAnswer::Kind::kRecorded;
  gateway_.log_.Write(
      LineKind::kFailure,
      RequestLogLine("stream_resumed")
          .Field("resumed_request", request_.caller.resumed_attempt_id)
          .Field("service", origin ? origin->service : "")
          .Field("version", origin ? origin->version : "")
          .Field("known", origin.has_value())
          .Field("recorded_here", recorded)
          .Field("peer_answers", static_cast<uint64_t>(evidence.peers.size()))
          .Field("holders_replied", evidence.holders_replied)
          .Field("upstreams_read", evidence.upstreams_read)
          .Field("log_read", stream_log_read_)
          .Field("directory_age_ms",
                 now - gateway_.shared_state_.upstreams_read_at()),
      now);
  if (!origin || !MoveToService(origin->service))
    return ApplyFinalStep(
        FinalStepAfterTimeout(state_, ResultCode::kNoUpstream));
  request_.placement_request.required_version = origin->version;
  resume();
}

bool Exchange::MoveToService(const std::string& service) {
  const std::vector<WeightedService>& services = request_.route->services;
  const bool is_allowed =
      std::any_of(services.begin(), services.end(),
                  [&service](const WeightedService& allowed) {
                    return allowed.service == service;
                  });
  if (!is_allowed)
    return false;
  request_.SetService(service);
  return true;
}

void Exchange::BeginStream() {
  if (!state_.resumable || request_.placement_request.required_version)
    return;
  request_.placement_request.required_version = attempt_.upstream.version;
  // The serving host may have chosen another service of the route.
  if (attempt_.relay_peer)
    MoveToService(attempt_.upstream.service);
  const StreamRecord record = MakeStreamRecord(BootNow());
  gateway_.stream_versions_.Remember(record, /*own=*/true, BootNow());
  // The serving host has told the others of a relayed stream.
  if (attempt_.relay_peer || !gateway_.stream_peers_)
    return;
  if (!MayHaveSeveralOrigins())
    return;
  // If this host is lost after the first event, its caller resumes the stream
  // at another host, which has to know the version by then.
  publishing_stream_ = true;
  const Duration log_timeout = logged_origins_ > 1
                                   ? Duration(kMaxLogReplaceDelay)
                                   : Duration(kMaxLogDelay);
  gateway_.stream_peers_->Publish({record}, log_timeout,
                                  [weak = weak_from_this()] {
                                    if (const auto self = weak.lock())
                                      self->OnStreamPublished();
                                  });
}

bool Exchange::MayHaveSeveralOrigins() const {
  return request_.route->services.size() > 1 ||
         gateway_.stream_versions_.HasSeveral(request_.service, BootNow());
}

void Exchange::AvoidRestarted(std::vector<std::string>* excluded) {
  // A restart changes the version of a stream, but never its service.
  const TimePoint now = BootNow();
  if (!state_.resumable ||
      !gateway_.stream_versions_.HasSeveral(request_.service, now))
    return;
  for (std::string& id :
       gateway_.restart_watch_.InDoubt(*gateway_.shared_state_.renewals(), now))
    excluded->push_back(std::move(id));
}

void Exchange::LogStream() {
  if (!state_.resumable || !gateway_.stream_peers_ || !MayHaveSeveralOrigins())
    return;
  const StreamRecord record = MakeStreamRecord(BootNow());
  if (record.attempt_id.empty() || logged_origin_ == record.origin)
    return;
  logged_origin_ = record.origin;
  ++logged_origins_;
  gateway_.stream_peers_->Append({record});
}

void Exchange::OnStreamPublished() {
  SendHeldEvents();
  UpdateHeldBytes();
  if (!finished_)
    ResumeTransfer();
}

void Exchange::SendHeldEvents() {
  if (!std::exchange(publishing_stream_, false) || finished_)
    return;
  std::string events = std::exchange(held_events_, {});
  if (!events.empty()) {
    StartAnswer();
    WriteAnswer(std::move(events));
  }
}

}  // namespace teaselhill::gateway
