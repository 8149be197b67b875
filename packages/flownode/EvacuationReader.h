#pragma once

#include "Evacuations.h"
#include "StoreWatcher.h"

#include <set>

namespace bilberryfield {

/** The objects of the kind evacuations at a position of the store. */
struct EvacuationReading
{
  EvacuationSet m_set;
  /** Names of the unreadable objects that no earlier reading returned. */
  std::vector<std::string> m_rejected;
};

/**
 * Reads the evacuated failure domains from the store's objects, whose names are
 * the domains. The content of an object must be a JSON object or missing. An
 * unreadable object leaves its domain as it was at the last reading.
 */
class EvacuationReader
{
public:
  EvacuationReading Read(const StoreWatcher::Objects& aObjects,
                         const StorePosition& aPosition);

private:
  /** Domains of the last reading. */
  std::set<std::string> m_domains;
  /** Unreadable objects of the last reading, and their positions. */
  std::map<std::string, StorePosition> m_unreadable;
};

} // namespace bilberryfield
