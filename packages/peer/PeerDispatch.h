#pragma once

#include "Codec.h"
#include "PeerHub.h"

namespace bilberryfield {

/** Sends a message to an address without expecting a reply. */
inline void
SendMessageTo(PeerHub& aHub,
              const std::string& aAddress,
              const PeerMessage& aMessage)
{
  aHub.SendTo(aAddress, Lane::Short, { EncodeMessage(aMessage), 0, {} });
}

/** Returns the lane for messages about work of the given length. */
inline Lane
LaneOf(WorkLength aWork)
{
  return aWork == WorkLength::Long ? Lane::Long : Lane::Short;
}

/** Returns the length of the work whose messages use the given lane. */
inline WorkLength
WorkOf(Lane aLane)
{
  return aLane == Lane::Long ? WorkLength::Long : WorkLength::Short;
}

} // namespace bilberryfield
