#pragma once

#include "Evacuations.h"
#include "MetricsText.h"

namespace bilberryfield {

/** Logs the evacuations that changed since the last call. aSource is where the
 * newest set came from. Returns false if nothing changed. */
bool
LogEvacuationChanges(TimePoint aNow,
                     Evacuations& aEvacuations,
                     const char* aSource);

/** Adds the number of evacuated domains, and the position of the newest set. */
void
AddEvacuationMetrics(TimePoint aNow,
                     const Evacuations& aEvacuations,
                     MetricsText& aText);

} // namespace bilberryfield
