#include "marigoldpitch/state/metrics.h"

namespace marigoldpitch {

Distribution::Distribution()
  : histogram(boost::histogram::make_histogram(
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>(
        kHistogramBins,
        1.0,
        kHistogramMaxMs)))
{
}

void
Distribution::Add(Duration aValue)
{
  this->histogram(static_cast<double>(aValue.ms));
  this->sumMs += static_cast<double>(aValue.ms);
  ++this->count;
}

} // namespace marigoldpitch
