#ifndef MARIGOLDPITCH_STATE_SIZES_H
#define MARIGOLDPITCH_STATE_SIZES_H

#include <cstddef>

/** Units of size, in bytes. */
namespace marigoldpitch {

constexpr size_t kKibibyte = 1024;
constexpr size_t kMebibyte = 1024 * kKibibyte;

} // namespace marigoldpitch

#endif
