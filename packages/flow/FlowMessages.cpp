#include "FlowMessages.h"

#include "Rendezvous.h"

namespace bilberryfield {

uint32_t
ServiceTag(const std::string& aService)
{
  return static_cast<uint32_t>(StableHash(aService));
}

} // namespace bilberryfield
