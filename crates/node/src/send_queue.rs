//! The bytes that the kernel holds for a TCP peer.

use std::os::fd::{AsFd, AsRawFd};

use nix::libc;

#[allow(unsafe_code)]
mod ioctl {
    nix::ioctl_read_bad!(
        /// Stores the length of the socket's send queue, including bytes that were sent and not acknowledged.
        outq,
        nix::libc::TIOCOUTQ,
        nix::libc::c_int
    );
}

/// The number of bytes that were written to `socket` and that its peer has not acknowledged; `None` if the system does
/// not tell.
#[allow(unsafe_code)]
pub(crate) fn length(socket: &impl AsFd) -> Option<usize> {
    let mut length: libc::c_int = 0;
    // SAFETY: the call stores one `c_int` at the pointer, which is valid during the call.
    unsafe { ioctl::outq(socket.as_fd().as_raw_fd(), &mut length) }.ok()?;
    usize::try_from(length).ok()
}
