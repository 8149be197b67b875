#pragma once

#include "Codec.h"
#include "PeerHub.h"

namespace bilberryfield {

/** Sends a typed message to an address; nobody waits for an answer. */
inline void
SendMessageTo(PeerHub& aHub,
              const std::string& aAddress,
              const PeerMessage& aMessage)
{
  aHub.SendTo(aAddress, Lane::Short, { EncodeMessage(aMessage), 0, {} });
}

/** Lane that messages about work of this length take. */
inline Lane
LaneOf(WorkLength aWork)
{
  return aWork == WorkLength::Long ? Lane::Long : Lane::Short;
}

/** Work length whose messages take a lane. */
inline WorkLength
WorkOf(Lane aLane)
{
  return aLane == Lane::Long ? WorkLength::Long : WorkLength::Short;
}

} // namespace bilberryfield
