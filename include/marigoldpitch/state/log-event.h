#ifndef MARIGOLDPITCH_STATE_LOG_EVENT_H
#define MARIGOLDPITCH_STATE_LOG_EVENT_H

#include "marigoldpitch/state/names.h"

#include <array>
#include <cstdint>
#include <string_view>

/** Numbered log events; docs/EVENTS.md describes each. */
namespace marigoldpitch {

enum class Severity
{
  Info,
  Warning,
  Error,
};

constexpr NameTable<Severity, 3> kSeverityNames{ {
  { Severity::Info, "info" },
  { Severity::Warning, "warning" },
  { Severity::Error, "error" },
} };

enum class LogEvent
{
  Started,
  Stopped,
  DrainStarted,
  DrainFinished,
  ListenFailed,
  ConfigurationInForce,
  ConfigurationRefused,
  HostListInForce,
  StoreUnreachable,
  StoreReachable,
  PeerUp,
  PeerDown,
  FrameRefused,
  PrimarySeen,
  PrimarySuspected,
  FailoverStarted,
  FailoverFinished,
  FailoverFailed,
  TermsReserved,
  UpstreamLeaving,
  ConnectionLost,
  TransactionExpired,
  OwnerPaused,
  RequestRefused,
  DatabaseUnknown,
  StatementPlaced,
  StatementRetried,
  StatementRefused,
  PromotionOrdered,
  PromotionAnswered,
  PromoterLeaseChanged,
  GroupRecorded,
  SettingsReloaded,
  WatchChanged,
  InvalidRecord,
  CallerRefused,
  LogDropped,
  ReadUnproved,
  UpstreamLeft,
  StatementToLeaving,
  StatementRelayed,
  RelayHostChanged,
  StoreRestored,
  DocumentOutdated,
  HostRegistered,
  CandidateReleased,
  SetupRefused,
  KeyRefused,
  ConnectionReplaced,
  ConnectionRefused,
  ServingChanged,
  OverLimit,
  LimitCounterChanged,
  MemoryStageChanged,
  CallerClosed,
  FenceChanged,
  CommitHidden,
};

struct LogEventRow
{
  LogEvent event;
  int number;
  Severity severity;
  std::string_view name;
};

constexpr std::array<LogEventRow, 57> kLogEvents{ {
  { LogEvent::Started, 100, Severity::Info, "started" },
  { LogEvent::Stopped, 101, Severity::Info, "stopped" },
  { LogEvent::DrainStarted, 102, Severity::Info, "drain-started" },
  { LogEvent::DrainFinished, 103, Severity::Info, "drain-finished" },
  { LogEvent::ListenFailed, 104, Severity::Error, "listen-failed" },
  { LogEvent::ConfigurationInForce,
    200,
    Severity::Info,
    "configuration-in-force" },
  { LogEvent::ConfigurationRefused,
    201,
    Severity::Error,
    "configuration-refused" },
  { LogEvent::HostListInForce, 202, Severity::Info, "host-list-in-force" },
  { LogEvent::StoreUnreachable, 203, Severity::Warning, "store-unreachable" },
  { LogEvent::StoreReachable, 204, Severity::Info, "store-reachable" },
  { LogEvent::PeerUp, 300, Severity::Info, "peer-up" },
  { LogEvent::PeerDown, 301, Severity::Warning, "peer-down" },
  { LogEvent::FrameRefused, 302, Severity::Warning, "frame-refused" },
  { LogEvent::PrimarySeen, 400, Severity::Info, "primary-seen" },
  { LogEvent::PrimarySuspected, 401, Severity::Warning, "primary-suspected" },
  { LogEvent::FailoverStarted, 402, Severity::Warning, "failover-started" },
  { LogEvent::FailoverFinished, 403, Severity::Info, "failover-finished" },
  { LogEvent::FailoverFailed, 404, Severity::Error, "failover-failed" },
  { LogEvent::TermsReserved, 405, Severity::Info, "terms-reserved" },
  { LogEvent::UpstreamLeaving, 406, Severity::Info, "upstream-leaving" },
  { LogEvent::ConnectionLost, 501, Severity::Warning, "connection-lost" },
  { LogEvent::TransactionExpired,
    502,
    Severity::Warning,
    "transaction-expired" },
  { LogEvent::OwnerPaused, 503, Severity::Warning, "owner-paused" },
  { LogEvent::RequestRefused, 504, Severity::Warning, "request-refused" },
  { LogEvent::DatabaseUnknown, 600, Severity::Warning, "database-unknown" },
  { LogEvent::StatementPlaced, 601, Severity::Info, "statement-placed" },
  { LogEvent::StatementRetried, 602, Severity::Info, "statement-retried" },
  { LogEvent::StatementRefused, 603, Severity::Warning, "statement-refused" },
  { LogEvent::PromotionOrdered, 407, Severity::Warning, "promotion-ordered" },
  { LogEvent::PromotionAnswered, 408, Severity::Info, "promotion-answered" },
  { LogEvent::PromoterLeaseChanged, 409, Severity::Info, "duty-changed" },
  { LogEvent::GroupRecorded, 410, Severity::Info, "group-recorded" },
  { LogEvent::SettingsReloaded, 105, Severity::Info, "settings-reloaded" },
  { LogEvent::WatchChanged, 206, Severity::Info, "watch-changed" },
  { LogEvent::InvalidRecord, 205, Severity::Warning, "strange-record" },
  { LogEvent::CallerRefused, 604, Severity::Warning, "caller-refused" },
  { LogEvent::LogDropped, 106, Severity::Warning, "log-dropped" },
  { LogEvent::ReadUnproved, 605, Severity::Warning, "read-unproved" },
  { LogEvent::UpstreamLeft, 411, Severity::Info, "upstream-left" },
  { LogEvent::StatementToLeaving, 606, Severity::Info, "statement-to-leaving" },
  { LogEvent::StatementRelayed, 607, Severity::Info, "statement-relayed" },
  { LogEvent::RelayHostChanged, 303, Severity::Info, "relay-host-changed" },
  { LogEvent::StoreRestored, 207, Severity::Warning, "store-restored" },
  { LogEvent::DocumentOutdated, 208, Severity::Warning, "document-outdated" },
  { LogEvent::HostRegistered, 209, Severity::Info, "host-registered" },
  { LogEvent::CandidateReleased, 412, Severity::Warning, "candidate-released" },
  { LogEvent::SetupRefused, 608, Severity::Warning, "setup-refused" },
  { LogEvent::KeyRefused, 609, Severity::Warning, "key-refused" },
  { LogEvent::ConnectionReplaced, 610, Severity::Info, "connection-replaced" },
  { LogEvent::ConnectionRefused, 611, Severity::Info, "connection-refused" },
  { LogEvent::ServingChanged, 304, Severity::Info, "serving-changed" },
  { LogEvent::OverLimit, 620, Severity::Info, "over-limit" },
  { LogEvent::LimitCounterChanged,
    621,
    Severity::Info,
    "limit-counter-changed" },
  { LogEvent::MemoryStageChanged,
    107,
    Severity::Warning,
    "memory-stage-changed" },
  { LogEvent::CallerClosed, 612, Severity::Warning, "caller-closed" },
  { LogEvent::FenceChanged, 413, Severity::Info, "fence-changed" },
  { LogEvent::CommitHidden, 613, Severity::Warning, "commit-hidden" },
} };

constexpr const LogEventRow&
RowOf(LogEvent aEvent)
{
  return kLogEvents[static_cast<size_t>(aEvent)];
}

} // namespace marigoldpitch

#endif
