#pragma once

#include "ServiceConfig.h"

namespace bilberryfield {

/** Service number aService at a port of its own address. */
inline ServiceConfig
NumberedService(int aService, int aPort)
{
  ServiceConfig service;
  service.m_name = "service-" + std::to_string(aService);
  service.m_address =
    "10.0.0." + std::to_string(aService) + ":" + std::to_string(aPort);
  service.m_labels = { "label" };
  service.m_classes = { { .m_name = "only" } };
  service.m_defaultClass = "only";
  return service;
}

} // namespace bilberryfield
