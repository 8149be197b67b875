#pragma once

#include "Packet.h"
#include "Time.h"

#include <deque>
#include <vector>

namespace bilberryfield {

/** The last copy of an opening packet, which waits for a free slot. */
struct LateOpening
{
  PacketHeader m_header;
  std::vector<uint8_t> m_bytes;
  /** When the caller's attempt is about to end. */
  TimePoint m_giveUpAt;
};

/**
 * Callers that have waited for long while every server was full. They get the
 * slots that newer callers leave, the newest of them first, and are given up
 * just before they give up themselves.
 */
class LateOpenings
{
public:
  /** Takes a packet; the oldest leaves when there are too many. */
  void Add(LateOpening aOpening);

  /** Packets that have waited for too long. */
  std::vector<LateOpening> TakeExpired(TimePoint aNow);

  /** The newest packet; there has to be one. */
  LateOpening TakeNewest();

  size_t Size() const { return m_openings.size(); }

  /** Time from the last copy to shortly before the caller's attempt ends. */
  static constexpr Duration kWait = Milliseconds(700);
  static constexpr size_t kMaxOpenings = 500;

private:
  /** Oldest first. */
  std::deque<LateOpening> m_openings;
};

} // namespace bilberryfield
