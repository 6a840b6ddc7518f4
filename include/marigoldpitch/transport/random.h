#ifndef MARIGOLDPITCH_TRANSPORT_RANDOM_H
#define MARIGOLDPITCH_TRANSPORT_RANDOM_H

#include <string>

/** Names that no other process makes. */
namespace marigoldpitch {

/** `aBytes` random bytes of the system, in hexadecimal. */
std::string
RandomName(size_t aBytes);

} // namespace marigoldpitch

#endif
