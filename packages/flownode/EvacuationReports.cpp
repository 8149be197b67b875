#include "EvacuationReports.h"

#include "Log.h"

namespace bilberryfield {

bool
LogEvacuationChanges(TimePoint aNow,
                     Evacuations& aEvacuations,
                     const char* aSource)
{
  EvacuationChanges changes = aEvacuations.TakeChanges(aNow);
  if (changes.IsEmpty()) {
    return false;
  }
  const StorePosition& position = aEvacuations.Latest().m_position;
  for (const std::string& domain : changes.m_kept) {
    Log(LogLevel::Warning,
        "evacuation-kept",
        { { "domain", domain },
          { "era", position.m_era },
          { "revision", position.m_revision },
          { "kept_ms", ToMilliseconds(Evacuations::kRestoredGracePeriod) } });
  }
  for (const std::string& domain : changes.m_lapsed) {
    Log(LogLevel::Warning,
        "evacuation-lapsed",
        { { "domain", domain }, { "era", position.m_era } });
  }
  if (!changes.m_isFirst && changes.m_added.empty() &&
      changes.m_removed.empty()) {
    return true;
  }
  Log(LogLevel::Info,
      "evacuations-in-force",
      { { "domains", aEvacuations.InForce(aNow) },
        { "added", changes.m_added },
        { "removed", changes.m_removed },
        { "era", position.m_era },
        { "revision", position.m_revision },
        { "source", aSource } });
  return true;
}

void
AddEvacuationMetrics(TimePoint aNow,
                     const Evacuations& aEvacuations,
                     MetricsText& aText)
{
  const StorePosition& position = aEvacuations.Latest().m_position;
  aText.Add("bilberry_evacuated_domains", aEvacuations.InForce(aNow).size());
  aText.Add("bilberry_evacuations_era", position.m_era);
  aText.Add("bilberry_evacuations_revision", position.m_revision);
}

} // namespace bilberryfield
