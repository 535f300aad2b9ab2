"""Stand-ins for clients, engines and the name server, and the start of routers, for the cases of the review.

They run as greenlets in one process, so the standard library is patched before a scenario uses it.
"""

import gevent.monkey

gevent.monkey.patch_all()
