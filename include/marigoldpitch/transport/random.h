#ifndef MARIGOLDPITCH_TRANSPORT_RANDOM_H
#define MARIGOLDPITCH_TRANSPORT_RANDOM_H

#include <string>

/** Random identifiers that are unique across processes. */
namespace marigoldpitch {

/** `aBytes` bytes from the system's random generator, in hexadecimal. */
std::string
RandomHexString(size_t aBytes);

} // namespace marigoldpitch

#endif
