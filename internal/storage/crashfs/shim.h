#ifndef CRASHFS_SHIM_H
#define CRASHFS_SHIM_H

/* Registers a VFS that wraps the VFS base_name and records each change to its files. */
int crashfs_register(const char *name, const char *base_name);

#endif
