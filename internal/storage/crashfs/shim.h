#ifndef BRITTLE_SHIM_H
#define BRITTLE_SHIM_H

/* Makes a file system known to SQLite under a name: that of base, with each change told of. */
int brittle_register(const char *name, const char *base);

#endif
