#include "marigoldpitch/coordination/proxy/opening-pace.h"

#include <algorithm>

namespace marigoldpitch {

namespace detail {

constexpr Duration kFirstPause = Millis(100);
// The pause doubles up to this refusal. With its spread it stays well below
// `kLingerTime`.
constexpr uint32_t kMaxRefusals = 4;
constexpr Duration kMaxReportAge = Millis(300);

} // namespace detail

bool
OpeningPace::MayOpen(uint32_t aOpening,
                     uint32_t aConnectionLimit,
                     const ConnectionCensus& aCensus,
                     uint32_t aOpenedSince,
                     Time aNow) const
{
  bool isFull = aNow - aCensus.asked <= detail::kMaxReportAge &&
                aCensus.connections + aOpenedSince >= aConnectionLimit;
  return this->MayReplace(aOpening, aNow) && !isFull;
}

bool
OpeningPace::MayReplace(uint32_t aOpening, Time aNow) const
{
  bool isPaused = aNow < this->pausedUntil;
  bool isOneOpening = this->refusals > 0 && aOpening > 0;
  return !isPaused && !isOneOpening;
}

Duration
OpeningPace::NoteRefused(double aSpread, Time aNow)
{
  if (aNow < this->pausedUntil) {
    return Millis(0);
  }
  this->refusals = std::min(this->refusals + 1, detail::kMaxRefusals);
  auto base =
    static_cast<double>(detail::kFirstPause.ms << (this->refusals - 1));
  Duration pause{ static_cast<int64_t>(base * (1 + aSpread)) };
  this->pausedUntil = aNow + pause;
  return pause;
}

} // namespace marigoldpitch
