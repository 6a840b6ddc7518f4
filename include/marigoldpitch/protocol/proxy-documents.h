#ifndef MARIGOLDPITCH_PROTOCOL_PROXY_DOCUMENTS_H
#define MARIGOLDPITCH_PROTOCOL_PROXY_DOCUMENTS_H

#include "marigoldpitch/state/error.h"
#include "marigoldpitch/state/proxy-config.h"

#include <string>
#include <vector>

/** What proxies tell each other of the store's contents, in JSON. */
namespace marigoldpitch {

std::string
FormatUpstreams(const std::vector<RegisteredUpstream>& aUpstreams);

/** Fails with `BadMessage` on anything but a whole list. */
Result<std::vector<RegisteredUpstream>>
ParseUpstreams(const std::string& aText);

/** One host's own entry, also as it stands in the store. */
std::string
FormatProxyHost(const ProxyHost& aHost);

Result<ProxyHost>
ParseProxyHost(const std::string& aText);

std::string
FormatProxyHosts(const ProxyHosts& aHosts);

Result<ProxyHosts>
ParseProxyHosts(const std::string& aText);

/** A group's record as it stands in the store, which adds the revision. */
std::string
FormatGroupRecord(const GroupRecord& aRecord);

/**
 * Fails with `BadMessage` on anything but a whole record, also on one that
 * names no member or one twice. The revision is left at 0.
 */
Result<GroupRecord>
ParseGroupRecord(const std::string& aText);

/** All records of one read, with their revisions. */
std::string
FormatGroups(const std::vector<GroupRecord>& aGroups);

Result<std::vector<GroupRecord>>
ParseGroups(const std::string& aText);

} // namespace marigoldpitch

#endif
