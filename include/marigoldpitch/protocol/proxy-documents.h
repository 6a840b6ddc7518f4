#ifndef MARIGOLDPITCH_PROTOCOL_PROXY_DOCUMENTS_H
#define MARIGOLDPITCH_PROTOCOL_PROXY_DOCUMENTS_H

#include "marigoldpitch/state/error.h"
#include "marigoldpitch/state/proxy-config.h"

#include <string>
#include <vector>

/** JSON documents that proxies exchange about the store's contents. */
namespace marigoldpitch {

std::string
FormatUpstreams(const std::vector<RegisteredUpstream>& aUpstreams);

/** Fails with `BadMessage` unless the text is a complete list. */
Result<std::vector<RegisteredUpstream>>
ParseUpstreams(const std::string& aText);

/** A host's own entry, in the same form as in the store. */
std::string
FormatProxyHost(const ProxyHost& aHost);

Result<ProxyHost>
ParseProxyHost(const std::string& aText);

std::string
FormatProxyHosts(const ProxyHosts& aHosts);

Result<ProxyHosts>
ParseProxyHosts(const std::string& aText);

/** A group's record as in the store; the store keeps the position itself. */
std::string
FormatGroupRecord(const GroupRecord& aRecord);

/**
 * Fails with `BadMessage` unless the text is a complete record with at least
 * one member and no member twice. Leaves the position unset.
 */
Result<GroupRecord>
ParseGroupRecord(const std::string& aText);

/** All records of one read of the store, with their positions in its era. */
std::string
FormatGroups(const std::vector<GroupRecord>& aGroups);

Result<std::vector<GroupRecord>>
ParseGroups(const std::string& aText, uint64_t aEra);

} // namespace marigoldpitch

#endif
