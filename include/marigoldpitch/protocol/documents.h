#ifndef MARIGOLDPITCH_PROTOCOL_DOCUMENTS_H
#define MARIGOLDPITCH_PROTOCOL_DOCUMENTS_H

#include "marigoldpitch/coordination/owner/term-reserver.h"
#include "marigoldpitch/state/config.h"
#include "marigoldpitch/state/error.h"

#include <string>

/** Documents in the platform's store: configuration, hosts and terms. */
namespace marigoldpitch {

/** A failure is one error that lists every finding in the text. */
Result<Config>
ParseConfiguration(const std::string& aText,
                   uint64_t aRevision,
                   const std::string& aSource);

Result<HostList>
ParseHostList(const std::string& aText, uint64_t aRevision);

Result<TermRecord>
ParseTermRecord(const std::string& aText);

std::string
FormatTermRecord(const TermRecord& aRecord);

/** Keys in the store. */
std::string
ConfigurationKey(const std::string& aGroupSet);
std::string
TermKey(const std::string& aGroup);
constexpr char kHostsKey[] = "hosts";

} // namespace marigoldpitch

#endif
