#include "marigoldpitch/coordination/common/admission.h"

namespace marigoldpitch {

namespace detail {

class DeadlineAdmission : public AdmissionPolicy
{
public:
  bool Admits(const QueueLoad& aLoad, Duration aTimeLeft) const override
  {
    if (aLoad.slots == 0) {
      return true; // no upstream to serve it now, but one may come in time
    }
    double rounds =
      static_cast<double>(aLoad.ahead) / static_cast<double>(aLoad.slots) + 1;
    return aLoad.serviceMs * rounds <= static_cast<double>(aTimeLeft.ms);
  }

  bool OrdersByPriority() const override { return true; }
};

class FifoAdmission : public AdmissionPolicy
{
public:
  bool Admits(const QueueLoad&, Duration) const override { return true; }
  bool OrdersByPriority() const override { return false; }
};

} // namespace detail

std::unique_ptr<AdmissionPolicy>
MakeDeadlineAdmission()
{
  return std::make_unique<detail::DeadlineAdmission>();
}

std::unique_ptr<AdmissionPolicy>
MakeFifoAdmission()
{
  return std::make_unique<detail::FifoAdmission>();
}

} // namespace marigoldpitch
