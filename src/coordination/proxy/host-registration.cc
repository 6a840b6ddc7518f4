#include "marigoldpitch/coordination/proxy/host-registration.h"

namespace marigoldpitch {

namespace detail {

constexpr RegistrationTerms kCandidateTerms{ Millis(2000), Millis(600) };
constexpr RegistrationTerms kOtherTerms{ Millis(12000), Millis(4000) };

} // namespace detail

RegistrationTerms
RegistrationTermsOf(size_t aPromoterRank)
{
  return aPromoterRank < kPromoterCandidates ? detail::kCandidateTerms
                                             : detail::kOtherTerms;
}

} // namespace marigoldpitch
