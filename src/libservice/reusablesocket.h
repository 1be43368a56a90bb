// Checks whether an idle keep-alive connection can carry another request.
#pragma once

#include <cerrno>

#include <sys/socket.h>

#include "asiotypes.h"

namespace MangoCourse {

// Returns false if the peer has closed the connection or has sent unexpected bytes.
inline bool isReusable(tcp::socket &socket)
{
    char byte = 0;
    const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

}
