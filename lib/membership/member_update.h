/// \file
/// Origin of updates about members.

#ifndef TEASELHILL_LIB_MEMBERSHIP_MEMBER_UPDATE_H_
#define TEASELHILL_LIB_MEMBERSHIP_MEMBER_UPDATE_H_

#include "teaselhill/membership/messages.h"

namespace teaselhill::membership {

/// Whether only the host list has named the host; its incarnation is not known.
inline bool IsOnlyFromHostList(const MemberUpdate& update) {
  return update.id.incarnation == 0;
}

}  // namespace teaselhill::membership

#endif  // TEASELHILL_LIB_MEMBERSHIP_MEMBER_UPDATE_H_
