#include <stdlib.h>
#include <string.h>

#include "abi.h"
#include "shim.h"
#include "_cgo_export.h"

/* File wraps a file of the base VFS; id is its index in the recorder. */
typedef struct {
	sqlite3_file head;
	int id;
	sqlite3_file *real;
} File;

static sqlite3_vfs *base;

#define REAL(f) (((File *)(f))->real)
#define ID(f) (((File *)(f))->id)

static int fClose(sqlite3_file *f) {
	int rc = REAL(f)->pMethods->xClose(REAL(f));
	free(REAL(f));
	REAL(f) = 0;
	return rc;
}

static int fRead(sqlite3_file *f, void *to, int n, sqlite3_int64 at) { return REAL(f)->pMethods->xRead(REAL(f), to, n, at); }

static int fWrite(sqlite3_file *f, const void *from, int n, sqlite3_int64 at) {
	int rc = REAL(f)->pMethods->xWrite(REAL(f), from, n, at);
	if (rc == SQLITE_OK) brittleWrite(ID(f), at, (void *)from, n);
	return rc;
}

static int fTruncate(sqlite3_file *f, sqlite3_int64 size) {
	int rc = REAL(f)->pMethods->xTruncate(REAL(f), size);
	if (rc == SQLITE_OK) brittleTruncate(ID(f), size);
	return rc;
}

static int fSync(sqlite3_file *f, int flags) {
	int rc = REAL(f)->pMethods->xSync(REAL(f), flags);
	if (rc == SQLITE_OK) brittleSync(ID(f));
	return rc;
}

static int fFileSize(sqlite3_file *f, sqlite3_int64 *size) { return REAL(f)->pMethods->xFileSize(REAL(f), size); }
static int fLock(sqlite3_file *f, int level) { return REAL(f)->pMethods->xLock(REAL(f), level); }
static int fUnlock(sqlite3_file *f, int level) { return REAL(f)->pMethods->xUnlock(REAL(f), level); }
static int fCheckReservedLock(sqlite3_file *f, int *out) { return REAL(f)->pMethods->xCheckReservedLock(REAL(f), out); }
static int fSectorSize(sqlite3_file *f) { return REAL(f)->pMethods->xSectorSize(REAL(f)); }
static int fDeviceCharacteristics(sqlite3_file *f) { return REAL(f)->pMethods->xDeviceCharacteristics(REAL(f)); }

/* Preallocation would change file sizes without being recorded, so hints are ignored. */
static int fFileControl(sqlite3_file *f, int op, void *arg) {
	if (op == SQLITE_FCNTL_SIZE_HINT || op == SQLITE_FCNTL_CHUNK_SIZE) return SQLITE_OK;
	return REAL(f)->pMethods->xFileControl(REAL(f), op, arg);
}

static const sqlite3_io_methods methods = {1, fClose, fRead, fWrite, fTruncate, fSync, fFileSize, fLock, fUnlock, fCheckReservedLock,
	fFileControl, fSectorSize, fDeviceCharacteristics};

static int vOpen(sqlite3_vfs *v, sqlite3_filename name, sqlite3_file *f, int flags, int *out) {
	sqlite3_file *real = calloc(1, base->szOsFile);
	if (!real) return SQLITE_NOMEM;
	f->pMethods = 0;
	int exists = 0;
	if (name) base->xAccess(base, name, SQLITE_ACCESS_EXISTS, &exists);
	int rc = base->xOpen(base, name, real, flags, out);
	if (rc != SQLITE_OK) {
		free(real);
		return rc;
	}
	f->pMethods = &methods;
	((File *)f)->real = real;
	((File *)f)->id = brittleOpen((char *)(name ? name : ""), name && !exists,
		(flags & (SQLITE_OPEN_MAIN_JOURNAL | SQLITE_OPEN_SUPER_JOURNAL | SQLITE_OPEN_WAL)) != 0);
	return SQLITE_OK;
}

static int vDelete(sqlite3_vfs *v, const char *name, int sync_dir) {
	int rc = base->xDelete(base, name, sync_dir);
	if (rc == SQLITE_OK) brittleDelete((char *)name, sync_dir);
	return rc;
}

static int vAccess(sqlite3_vfs *v, const char *name, int flags, int *out) { return base->xAccess(base, name, flags, out); }
static int vFullPathname(sqlite3_vfs *v, const char *name, int n, char *out) { return base->xFullPathname(base, name, n, out); }
static int vRandomness(sqlite3_vfs *v, int n, char *out) { return base->xRandomness(base, n, out); }
static int vSleep(sqlite3_vfs *v, int us) { return base->xSleep(base, us); }
static int vCurrentTime(sqlite3_vfs *v, double *out) { return base->xCurrentTime(base, out); }
static int vGetLastError(sqlite3_vfs *v, int n, char *out) { return base->xGetLastError(base, n, out); }

int crashfs_register(const char *name, const char *base_name) {
	base = sqlite3_vfs_find(base_name);
	if (!base) return SQLITE_ERROR;
	sqlite3_vfs *v = calloc(1, sizeof *v);
	if (!v) return SQLITE_NOMEM;
	v->iVersion = 1;
	v->szOsFile = sizeof(File);
	v->mxPathname = base->mxPathname;
	v->zName = strdup(name);
	v->xOpen = vOpen;
	v->xDelete = vDelete;
	v->xAccess = vAccess;
	v->xFullPathname = vFullPathname;
	v->xRandomness = vRandomness;
	v->xSleep = vSleep;
	v->xCurrentTime = vCurrentTime;
	v->xGetLastError = vGetLastError;
	return sqlite3_vfs_register(v, 0);
}
